//! What one control process knows of the roster, and what it can prove with it.

use std::collections;

use crate::config;
use crate::instant;
use crate::name;
use crate::unit;

use super::Query;
use super::Reply;
use super::Roster;
use super::exchange;

/// What one control process knows of the roster, and what it can prove with it.
///
/// A host's evidence is the latest of three: its own read of the head, a peer's
/// evidence with its age added, and a read quorum of members that vouch, within
/// one generation, for no newer version than the host's own. A quorum shares a
/// member with every set that can accept a version, so evidence from before its
/// first question holds while the store is down.
#[derive(Clone, Debug)]
pub struct Node {
    me: name::Incarnation,
    started: instant::Instant,
    roster: Roster,
    version: unit::Version,
    vouched: collections::BTreeMap<name::Incarnation, instant::Instant>,
    proof: Option<config::Proof>,
    ahead: Option<config::Proof>,
    has_left: bool,
}

impl Node {
    /// Creates the knowledge of a process that started now and has heard nothing.
    ///
    /// Evidence from before `started` is not used: an earlier life on the host
    /// may have had a newer version in force.
    #[must_use]
    pub fn new(me: name::Incarnation, started: instant::Instant) -> Self {
        Self {
            me,
            started,
            roster: Roster::default(),
            version: unit::Version::NONE,
            vouched: collections::BTreeMap::new(),
            proof: None,
            ahead: None,
            has_left: false,
        }
    }

    /// Returns the newest roster that this process knows.
    #[must_use]
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns this life's name.
    #[must_use]
    pub const fn incarnation(&self) -> &name::Incarnation {
        &self.me
    }

    /// Returns the version that this process has in force.
    #[must_use]
    pub const fn version(&self) -> unit::Version {
        self.version
    }

    /// Returns whether this process is a member of the roster that it knows.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.roster.member(&self.me).is_some()
    }

    /// Takes note that a version is in force here; it only rises.
    pub fn set_version(&mut self, version: unit::Version) {
        self.version = self.version.max(version);
        if self
            .ahead
            .is_some_and(|ahead| ahead.version <= self.version)
        {
            self.proof = config::Proof::later(self.proof, self.ahead.take());
        }
    }

    /// Vouches no more, for good, so that this life can be struck out of every roster.
    pub fn leave(&mut self) {
        self.has_left = true;
    }

    /// Returns whether this life vouches no more.
    #[must_use]
    pub const fn has_left(&self) -> bool {
        self.has_left
    }

    /// Takes a roster from the table or a peer unless it is older.
    pub fn update_roster(&mut self, roster: &Roster) {
        if roster.generation > self.roster.generation {
            self.vouched.clear();
            self.roster = roster.clone();
        } else if roster.is_further_sealed(&self.roster) {
            self.roster.past.clone_from(&roster.past);
        }
    }

    /// Takes a read of the head that was sent at `asked`.
    pub fn on_head(&mut self, asked: instant::Instant, head: unit::Version) {
        self.strengthen(Some(config::Proof::new(head, asked)));
    }

    /// Forms a question to a peer.
    #[must_use]
    pub fn ask(&self) -> Query {
        Query {
            from: self.me.clone(),
            generation: self.roster.generation,
            version: self.version,
        }
    }

    /// Answers a peer's question.
    #[must_use]
    pub fn answer(&self, ask: &Query, now: instant::Instant) -> Reply {
        let is_newer = self.roster.generation > ask.generation;
        Reply {
            from: self.me.clone(),
            generation: self.roster.generation,
            version: self.version,
            is_confirming: self.is_confirming(ask),
            evidence: self.proof.map(|proof| exchange::Evidence {
                version: proof.version,
                age: proof.age(now),
            }),
            roster: is_newer.then(|| self.roster.clone()),
        }
    }

    /// Takes a peer's answer to a question that was sent at `asked`.
    pub fn on_answer(&mut self, asked: instant::Instant, answer: &Reply) {
        if let Some(roster) = &answer.roster {
            self.update_roster(roster);
        }
        if let Some(evidence) = answer.evidence {
            self.strengthen(config::Proof::relayed(
                evidence.version,
                asked,
                evidence.age,
            ));
        }
        let is_same = answer.generation == self.roster.generation;
        if is_same && answer.is_confirming && answer.version <= self.version {
            let at = self.vouched.entry(answer.from.clone()).or_default();
            *at = asked.max(*at);
        }
    }

    /// Returns the latest evidence that nothing newer than this host's version was accepted.
    #[must_use]
    pub fn proof(&self, now: instant::Instant) -> Option<config::Proof> {
        config::Proof::later(self.proof, self.quorum(now))
    }

    /// Brings the kept evidence up to date, so that answers to peers carry it.
    pub fn refresh(&mut self, now: instant::Instant) {
        self.strengthen(self.quorum(now));
    }

    fn is_confirming(&self, ask: &Query) -> bool {
        ask.generation == self.roster.generation
            && self.roster.member(&ask.from).is_some()
            && self.is_able()
    }

    fn is_able(&self) -> bool {
        self.is_member() && !self.has_left && self.version >= self.roster.floor
    }

    /// Returns the evidence of a read quorum, this process included at `now`.
    fn quorum(&self, now: instant::Instant) -> Option<config::Proof> {
        if !self.is_able() {
            return None;
        }
        let others = self
            .roster
            .members
            .iter()
            .filter(|m| m.incarnation != self.me);
        let mut times: Vec<instant::Instant> = others
            .filter_map(|m| self.vouched.get(&m.incarnation).copied())
            .collect();
        times.push(now);
        times.sort_unstable();
        let first = times.len().checked_sub(self.roster.read_quorum())?;
        Some(config::Proof::new(self.version, times[first]))
    }

    /// Keeps evidence, apart where it speaks of a version that is not in force yet.
    fn strengthen(&mut self, other: Option<config::Proof>) {
        let other = other.filter(|proof| proof.at >= self.started);
        let is_ahead = other.is_some_and(|proof| proof.version > self.version);
        if is_ahead {
            self.ahead = config::Proof::later(self.ahead, other);
        } else {
            self.proof = config::Proof::later(self.proof, other);
        }
    }
}
