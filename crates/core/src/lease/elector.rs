//! Leader lease on a row of the shared table, as one process acquires, keeps and loses it.

use std::collections;
use std::time;

use crate::config;
use crate::instant;
use crate::member;
use crate::name;

use super::Fences;
use super::Term;

/// The content of a lease's row in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// Number of the term, which rises with each change of holder (fencing token).
    pub epoch: u64,
    /// Process that holds the lease, absent after it released the lease.
    pub holder: Option<name::Incarnation>,
    /// Generation of the roster that the writer knew.
    pub generation: u64,
}

/// A lease's row with its version, as read from the table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versioned {
    /// Version of the row, 0 if the row does not exist.
    pub version: u64,
    /// Content of the row, absent if the row does not exist.
    pub row: Option<Row>,
}

/// Durations on which all processes must agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time for which one renewal entitles its holder to act.
    pub duration: time::Duration,
}

/// The next step of a process for one lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing is due.
    Wait,
    /// Read the row.
    Read,
    /// Ask the members to fence off the holder at this version of the row.
    Fence(u64),
    /// Write the row on the condition that its version has not changed.
    Write {
        /// Version that the row must still have.
        version: u64,
        /// New content of the row.
        row: Row,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Pending {
    version: u64,
    row: Row,
    sent_at: instant::Instant,
}

/// The state of one process that holds a leader lease or contends for it.
///
/// A contender takes over only after two conditions held for the whole duration of
/// the lease: the row did not change, and a write quorum of a settled roster fenced
/// off the holder. It asks for fences only while it can read the row, so an outage
/// of the table alone never causes a takeover. A holder that cannot reach the table
/// keeps the lease while a read quorum supports it, in the roster generation of its
/// last write. Every read quorum shares a member with every write quorum, so a
/// holder cannot be supported and fenced off at the same time.
#[derive(Clone, Debug)]
pub struct Elector {
    incarnation: name::Incarnation,
    timing: Timing,
    latest: Option<Versioned>,
    changed_at: instant::Instant,
    read_at: instant::Instant,
    fenced_by: collections::BTreeSet<name::Incarnation>,
    fenced_at: Option<instant::Instant>,
    generation: u64,
    supported_at: collections::BTreeMap<name::Incarnation, instant::Instant>,
    pending: Option<Pending>,
    renewed_at: instant::Instant,
    term: Term,
    is_released: bool,
}

impl Elector {
    /// Creates an elector that has not read the row yet.
    #[must_use]
    pub fn new(incarnation: name::Incarnation, timing: Timing) -> Self {
        Self {
            incarnation,
            timing,
            latest: None,
            changed_at: instant::Instant::ORIGIN,
            read_at: instant::Instant::ORIGIN,
            fenced_by: collections::BTreeSet::new(),
            fenced_at: None,
            generation: 0,
            supported_at: collections::BTreeMap::new(),
            pending: None,
            renewed_at: instant::Instant::ORIGIN,
            term: Term::default(),
            is_released: false,
        }
    }

    /// Returns the term in which this process may act as the holder.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.term
    }

    /// Returns the holder that the latest known row names.
    #[must_use]
    pub fn holder(&self) -> Option<&name::Incarnation> {
        self.latest.as_ref()?.row.as_ref()?.holder.as_ref()
    }

    /// Returns the version of the row for which this process needs support, if it is the holder.
    #[must_use]
    pub fn held_version(&self) -> Option<u64> {
        let latest = self.latest.as_ref().filter(|_latest| self.is_holder())?;
        Some(latest.version)
    }

    /// Returns the next step for the lease.
    #[must_use]
    pub fn decide(&self, roster: &member::Roster, now: instant::Instant) -> Action {
        let Some(latest) = &self.latest else {
            return Action::Read;
        };
        if let Some(pending) = &self.pending {
            return Action::Write {
                version: pending.version,
                row: pending.row.clone(),
            };
        }
        if self.is_released {
            return Action::Wait;
        }
        if self.is_holder() {
            return self.renew(latest, roster, now);
        }
        match latest.row.as_ref().filter(|row| row.holder.is_some()) {
            None => self.acquire(latest, roster),
            Some(_row) => self.contend(latest, roster, now),
        }
    }

    /// Releases the lease and stops contending for it.
    ///
    /// Returns the row to write if this process is the holder.
    pub fn release(&mut self) -> Option<Row> {
        self.is_released = true;
        self.term.until = instant::Instant::ORIGIN;
        let row = self
            .latest
            .as_ref()
            .filter(|_latest| self.is_holder())?
            .row
            .clone()?;
        Some(Row {
            holder: None,
            ..row
        })
    }

    /// Applies a read of the row that was sent at `asked` and answered by `now`.
    ///
    /// Read the row after each rejected write: an earlier attempt of the same write
    /// may have taken effect, and this confirms it.
    pub fn on_read(&mut self, latest: Versioned, asked: instant::Instant, now: instant::Instant) {
        self.read_at = self.read_at.max(asked);
        if let Some(pending) = self.pending.take_if(|p| latest.version > p.version) {
            let is_written = latest.version == pending.version + 1;
            if is_written && latest.row.as_ref() == Some(&pending.row) {
                self.confirm(pending);
                return;
            }
        }
        self.observe(latest, now);
    }

    /// Records that the write of an [`Action::Write`] is sent at `now`.
    pub fn on_send(&mut self, version: u64, row: Row, now: instant::Instant) {
        if self.pending.is_none() {
            let sent_at = now;
            self.pending = Some(Pending {
                version,
                row,
                sent_at,
            });
        }
    }

    /// Records that the table confirmed the write conditional on `version`.
    pub fn on_written(&mut self, version: u64) {
        if let Some(pending) = self.pending.take_if(|p| p.version == version) {
            self.confirm(pending);
        }
    }

    /// Records that a member fenced off the holder at a version of the row.
    pub fn on_fenced(
        &mut self,
        member: &name::Incarnation,
        version: u64,
        roster: &member::Roster,
        now: instant::Instant,
    ) {
        self.enter_generation(roster.generation);
        if self.is_fence_valid(version, roster) && roster.member(member).is_some() {
            self.fenced_by.insert(member.clone());
        }
        if self.fenced_by.len() >= roster.write_quorum() && self.fenced_at.is_none() {
            self.fenced_at = Some(now);
        }
    }

    /// Records that a member supports this holder, in reply to a query sent at `asked`.
    ///
    /// `row` is the name of the lease and the version that the member supports.
    /// `fences` are this process's own: it counts as its own supporter only if it did
    /// not fence off the row, which it may have done before it learnt that its own
    /// write had taken effect.
    pub fn on_support(
        &mut self,
        member: &name::Incarnation,
        row: (&str, u64),
        fences: &Fences,
        roster: &member::Roster,
        asked: instant::Instant,
    ) {
        self.enter_generation(roster.generation);
        let (lease, version) = row;
        let is_supported = self.held_version() == Some(version) && !self.is_released;
        if is_supported && fences.allows(lease, version) {
            let at = self.supported_at.entry(member.clone()).or_default();
            *at = asked.max(*at);
            self.extend_term(roster);
        }
    }

    fn is_holder(&self) -> bool {
        let row = self.latest.as_ref().and_then(|latest| latest.row.as_ref());
        row.is_some_and(|row| row.holder.as_ref() == Some(&self.incarnation))
    }

    fn renew(&self, latest: &Versioned, roster: &member::Roster, now: instant::Instant) -> Action {
        let is_due = now.since(self.renewed_at) >= self.timing.duration / 3;
        match &latest.row {
            Some(row) if is_due => Action::Write {
                version: latest.version,
                row: Row {
                    epoch: row.epoch,
                    holder: row.holder.clone(),
                    generation: roster.generation,
                },
            },
            _ => Action::Wait,
        }
    }

    fn acquire(&self, latest: &Versioned, roster: &member::Roster) -> Action {
        let epoch = latest.row.as_ref().map_or(0, |row| row.epoch);
        Action::Write {
            version: latest.version,
            row: Row {
                epoch: epoch + 1,
                holder: Some(self.incarnation.clone()),
                generation: roster.generation,
            },
        }
    }

    fn contend(
        &self,
        latest: &Versioned,
        roster: &member::Roster,
        now: instant::Instant,
    ) -> Action {
        let delay = config::lengthen_for_drift(self.timing.duration);
        let is_fenced = self.fenced_at.is_some_and(|at| now.since(at) >= delay);
        if is_fenced && now.since(self.changed_at) >= delay {
            return self.acquire(latest, roster);
        }
        let is_unchanged = self.read_at.since(self.changed_at) >= self.timing.duration / 2;
        if self.fenced_at.is_none() && is_unchanged {
            return Action::Fence(latest.version);
        }
        Action::Wait
    }

    /// Returns whether fences by this roster's members bind the holder at `version`.
    fn is_fence_valid(&self, version: u64, roster: &member::Roster) -> bool {
        let is_current = self.latest.as_ref().is_some_and(|latest| {
            let written = latest.row.as_ref().map_or(0, |row| row.generation);
            latest.version == version && written <= roster.generation
        });
        is_current && roster.is_settled()
    }

    fn enter_generation(&mut self, generation: u64) {
        if self.generation != generation {
            self.generation = generation;
            self.fenced_by.clear();
            self.fenced_at = None;
            self.supported_at.clear();
        }
    }

    fn observe(&mut self, latest: Versioned, now: instant::Instant) {
        let is_newer = self
            .latest
            .as_ref()
            .is_none_or(|s| latest.version > s.version);
        if !is_newer {
            return;
        }
        let was_holder = self.is_holder();
        self.latest = Some(latest);
        self.changed_at = now;
        self.fenced_by.clear();
        self.fenced_at = None;
        self.supported_at.clear();
        if was_holder {
            self.term.until = instant::Instant::ORIGIN;
        }
    }

    fn confirm(&mut self, pending: Pending) {
        let until = match &pending.row.holder {
            Some(_holder) if !self.is_released => {
                pending.sent_at + config::shorten_for_drift(self.timing.duration)
            }
            _ => instant::Instant::ORIGIN,
        };
        let epoch = pending.row.epoch;
        let is_same = self.term.epoch == epoch;
        let until = if is_same {
            until.max(self.term.until)
        } else {
            until
        };
        self.term = Term::new(epoch, until);
        self.renewed_at = pending.sent_at;
        self.supported_at.clear();
        self.fenced_by.clear();
        self.fenced_at = None;
        self.changed_at = pending.sent_at;
        self.latest = Some(Versioned {
            version: pending.version + 1,
            row: Some(pending.row),
        });
    }

    /// Extends the term if a read quorum supports it; this process counts as supporting now.
    fn extend_term(&mut self, roster: &member::Roster) {
        let written = self.latest.as_ref().and_then(|latest| latest.row.as_ref());
        let is_same = written.is_some_and(|row| row.generation == roster.generation);
        if !is_same || roster.member(&self.incarnation).is_none() {
            return;
        }
        let others = roster
            .members
            .iter()
            .filter(|m| m.incarnation != self.incarnation);
        let mut times: Vec<instant::Instant> = others
            .filter_map(|m| self.supported_at.get(&m.incarnation).copied())
            .collect();
        times.sort_unstable();
        let needed = roster.read_quorum() - 1;
        let Some(oldest) = times.len().checked_sub(needed) else {
            return;
        };
        if let Some(at) = times.get(oldest) {
            let until = *at + config::shorten_for_drift(self.timing.duration);
            self.term.until = self.term.until.max(until);
        }
    }
}
