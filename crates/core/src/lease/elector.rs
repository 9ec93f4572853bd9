//! One lease as one process sees it, whether it holds it or waits for it.

use std::collections;
use std::time;

use crate::config;
use crate::instant;
use crate::member;
use crate::name;

use super::Fences;
use super::Term;

/// Content of a lease's row in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// Number that rises with each change of holder.
    pub epoch: u64,
    /// The life that holds the lease, absent once it was given back.
    pub holder: Option<name::Incarnation>,
    /// Generation of the roster under which the row was written.
    pub generation: u64,
}

/// A lease's row as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versioned {
    /// Version of the row, 0 where there is none.
    pub version: u64,
    /// Content of the row.
    pub row: Option<Row>,
}

/// Lengths of time that all processes agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time for which a renewal lets its holder act.
    pub duration: time::Duration,
}

/// What the process does next about the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    Wait,
    /// Read the row.
    Read,
    /// Ask members to stop helping the holder at this version of the row.
    Fence(u64),
    /// Write the row, conditional on its version.
    Write {
        /// Version that the row must have.
        version: u64,
        /// New content.
        row: Row,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Pending {
    version: u64,
    row: Row,
    sent: instant::Instant,
}

/// One lease as one process sees it, whether it holds it or waits for it.
///
/// A claimant writes only after the row stood still and a write quorum of a
/// settled roster barred the holder, both for the whole length of the lease. It
/// asks for bars only while it reads the row, never because the table is down. A
/// holder that cannot reach the table stays on while a read quorum of the
/// generation under which it last wrote helps it; the two quorums share a member.
#[derive(Clone, Debug)]
pub struct Elector {
    me: name::Incarnation,
    timing: Timing,
    seen: Option<Versioned>,
    since: instant::Instant,
    still: instant::Instant,
    bars: collections::BTreeSet<name::Incarnation>,
    barred: Option<instant::Instant>,
    generation: u64,
    helped: collections::BTreeMap<name::Incarnation, instant::Instant>,
    pending: Option<Pending>,
    renewed: instant::Instant,
    term: Term,
    is_released: bool,
}

impl Elector {
    /// Creates the view of a process that has not read the row.
    #[must_use]
    pub fn new(me: name::Incarnation, timing: Timing) -> Self {
        Self {
            me,
            timing,
            seen: None,
            since: instant::Instant::ORIGIN,
            still: instant::Instant::ORIGIN,
            bars: collections::BTreeSet::new(),
            barred: None,
            generation: 0,
            helped: collections::BTreeMap::new(),
            pending: None,
            renewed: instant::Instant::ORIGIN,
            term: Term::default(),
            is_released: false,
        }
    }

    /// Returns the time for which this process may act as the holder.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.term
    }

    /// Returns the life that the row named when it was last seen.
    #[must_use]
    pub fn holder(&self) -> Option<&name::Incarnation> {
        self.seen.as_ref()?.row.as_ref()?.holder.as_ref()
    }

    /// Returns the version of the row under which this process asks for help, if it holds it.
    #[must_use]
    pub fn held_version(&self) -> Option<u64> {
        let seen = self.seen.as_ref().filter(|_seen| self.is_mine())?;
        Some(seen.version)
    }

    /// Decides what to do next about the lease.
    #[must_use]
    pub fn decide(&self, roster: &member::Roster, now: instant::Instant) -> Action {
        let Some(seen) = &self.seen else {
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
        if self.is_mine() {
            return self.renew(seen, roster, now);
        }
        match seen.row.as_ref().filter(|row| row.holder.is_some()) {
            None => self.take(seen, roster),
            Some(_held) => self.claim(seen, roster, now),
        }
    }

    /// Stops acting as the holder and contending; returns the row to write, if this is the holder.
    pub fn release(&mut self) -> Option<Row> {
        self.is_released = true;
        self.term.until = instant::Instant::ORIGIN;
        let row = self
            .seen
            .as_ref()
            .filter(|_seen| self.is_mine())?
            .row
            .clone()?;
        Some(Row {
            holder: None,
            ..row
        })
    }

    /// Takes a read of the row that was sent at `asked` and answered by `now`.
    ///
    /// A refused write is followed by a read: an earlier sending of it may have
    /// taken effect.
    pub fn on_read(&mut self, seen: Versioned, asked: instant::Instant, now: instant::Instant) {
        self.still = self.still.max(asked);
        if let Some(pending) = self.pending.take_if(|p| seen.version > p.version) {
            let is_written = seen.version == pending.version + 1;
            if is_written && seen.row.as_ref() == Some(&pending.row) {
                self.confirm(pending);
                return;
            }
        }
        self.note(seen, now);
    }

    /// Takes note that a write of [`Action::Write`] is sent at `now`.
    pub fn on_send(&mut self, version: u64, row: Row, now: instant::Instant) {
        if self.pending.is_none() {
            let sent = now;
            self.pending = Some(Pending { version, row, sent });
        }
    }

    /// Takes note that the table confirmed the write against a version of the row.
    pub fn on_written(&mut self, version: u64) {
        if let Some(pending) = self.pending.take_if(|p| p.version == version) {
            self.confirm(pending);
        }
    }

    /// Takes note that a member barred the holder at a version of the row.
    pub fn on_fenced(
        &mut self,
        member: &name::Incarnation,
        version: u64,
        roster: &member::Roster,
        now: instant::Instant,
    ) {
        self.enter(roster.generation);
        if self.is_claimable(version, roster) && roster.member(member).is_some() {
            self.bars.insert(member.clone());
        }
        if self.bars.len() >= roster.write_quorum() && self.barred.is_none() {
            self.barred = Some(now);
        }
    }

    /// Takes note that a member helps this holder, in answer to a question sent at `asked`.
    ///
    /// `bars` are this process's own: it counts as a helper of itself only while
    /// it did not bar the row, which it may have before it knew the row for its own.
    pub fn on_support(
        &mut self,
        member: &name::Incarnation,
        held: (&str, u64),
        bars: &Fences,
        roster: &member::Roster,
        asked: instant::Instant,
    ) {
        self.enter(roster.generation);
        let (lease, version) = held;
        let is_helping = self.held_version() == Some(version) && !self.is_released;
        if is_helping && bars.allows(lease, version) {
            let at = self.helped.entry(member.clone()).or_default();
            *at = asked.max(*at);
            self.extend(roster);
        }
    }

    fn is_mine(&self) -> bool {
        let row = self.seen.as_ref().and_then(|seen| seen.row.as_ref());
        row.is_some_and(|row| row.holder.as_ref() == Some(&self.me))
    }

    fn renew(&self, seen: &Versioned, roster: &member::Roster, now: instant::Instant) -> Action {
        let is_due = now.since(self.renewed) >= self.timing.duration / 3;
        match &seen.row {
            Some(row) if is_due => Action::Write {
                version: seen.version,
                row: Row {
                    epoch: row.epoch,
                    holder: row.holder.clone(),
                    generation: roster.generation,
                },
            },
            _ => Action::Wait,
        }
    }

    fn take(&self, seen: &Versioned, roster: &member::Roster) -> Action {
        let epoch = seen.row.as_ref().map_or(0, |row| row.epoch);
        Action::Write {
            version: seen.version,
            row: Row {
                epoch: epoch + 1,
                holder: Some(self.me.clone()),
                generation: roster.generation,
            },
        }
    }

    fn claim(&self, seen: &Versioned, roster: &member::Roster, now: instant::Instant) -> Action {
        let wait = config::lengthen_for_drift(self.timing.duration);
        let is_barred = self.barred.is_some_and(|at| now.since(at) >= wait);
        if is_barred && now.since(self.since) >= wait {
            return self.take(seen, roster);
        }
        let is_still = self.still.since(self.since) >= self.timing.duration / 2;
        if self.barred.is_none() && is_still {
            return Action::Fence(seen.version);
        }
        Action::Wait
    }

    /// Returns whether bars of this roster's members bind the holder of a version of the row.
    fn is_claimable(&self, version: u64, roster: &member::Roster) -> bool {
        let is_current = self.seen.as_ref().is_some_and(|seen| {
            let written = seen.row.as_ref().map_or(0, |row| row.generation);
            seen.version == version && written <= roster.generation
        });
        is_current && roster.is_settled()
    }

    fn enter(&mut self, generation: u64) {
        if self.generation != generation {
            self.generation = generation;
            self.bars.clear();
            self.barred = None;
            self.helped.clear();
        }
    }

    fn note(&mut self, seen: Versioned, now: instant::Instant) {
        let is_newer = self.seen.as_ref().is_none_or(|s| seen.version > s.version);
        if !is_newer {
            return;
        }
        let is_lost = self.is_mine();
        self.seen = Some(seen);
        self.since = now;
        self.bars.clear();
        self.barred = None;
        self.helped.clear();
        if is_lost {
            self.term.until = instant::Instant::ORIGIN;
        }
    }

    fn confirm(&mut self, pending: Pending) {
        let until = match &pending.row.holder {
            Some(_me) if !self.is_released => {
                pending.sent + config::shorten_for_drift(self.timing.duration)
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
        self.renewed = pending.sent;
        self.helped.clear();
        self.bars.clear();
        self.barred = None;
        self.since = pending.sent;
        self.seen = Some(Versioned {
            version: pending.version + 1,
            row: Some(pending.row),
        });
    }

    /// Extends the term by the help of a read quorum, this process counted as helping now.
    fn extend(&mut self, roster: &member::Roster) {
        let written = self.seen.as_ref().and_then(|seen| seen.row.as_ref());
        let is_same = written.is_some_and(|row| row.generation == roster.generation);
        if !is_same || roster.member(&self.me).is_none() {
            return;
        }
        let others = roster.members.iter().filter(|m| m.incarnation != self.me);
        let mut times: Vec<instant::Instant> = others
            .filter_map(|m| self.helped.get(&m.incarnation).copied())
            .collect();
        times.sort_unstable();
        let needed = roster.read_quorum() - 1;
        let Some(first) = times.len().checked_sub(needed) else {
            return;
        };
        if let Some(at) = times.get(first) {
            let until = *at + config::shorten_for_drift(self.timing.duration);
            self.term.until = self.term.until.max(until);
        }
    }
}
