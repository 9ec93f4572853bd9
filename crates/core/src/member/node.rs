//! Read-quorum evidence that the records of one control process are the newest.

use std::collections;

use crate::config;
use crate::instant;
use crate::name;
use crate::unit;

use super::Query;
use super::Reply;
use super::Roster;
use super::exchange;

/// The roster that one control process knows, and its evidence of freshness.
///
/// The evidence is the latest of three: the process's own read of the newest
/// version (the head), a peer's evidence with its age added, and a read quorum of
/// members that confirm, within one generation, no newer version than the process's
/// own. A read quorum shares a member with every write quorum that can accept a
/// version, so at the time of the quorum's first query no newer version was
/// accepted. This also holds while the store is down.
#[derive(Clone, Debug)]
pub struct Node {
    incarnation: name::Incarnation,
    started: instant::Instant,
    roster: Roster,
    version: unit::Version,
    confirmed_at: collections::BTreeMap<name::Incarnation, instant::Instant>,
    proof: Option<config::Proof>,
    pending_proof: Option<config::Proof>,
    has_left: bool,
}

impl Node {
    /// Creates the state of a process that started at `started` and has no replies yet.
    ///
    /// Evidence from before `started` is not used: an earlier process on the host
    /// may have had a newer version in force.
    #[must_use]
    pub fn new(incarnation: name::Incarnation, started: instant::Instant) -> Self {
        Self {
            incarnation,
            started,
            roster: Roster::default(),
            version: unit::Version::NONE,
            confirmed_at: collections::BTreeMap::new(),
            proof: None,
            pending_proof: None,
            has_left: false,
        }
    }

    /// Returns the newest roster that this process knows.
    #[must_use]
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the incarnation of this process.
    #[must_use]
    pub const fn incarnation(&self) -> &name::Incarnation {
        &self.incarnation
    }

    /// Returns the version that this process has in force.
    #[must_use]
    pub const fn version(&self) -> unit::Version {
        self.version
    }

    /// Returns whether this process is a member of the roster that it knows.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.roster.member(&self.incarnation).is_some()
    }

    /// Records that a version is in force here; older versions are ignored.
    pub fn set_version(&mut self, version: unit::Version) {
        self.version = self.version.max(version);
        if self
            .pending_proof
            .is_some_and(|proof| proof.version <= self.version)
        {
            self.proof = config::Proof::later(self.proof, self.pending_proof.take());
        }
    }

    /// Stops confirming versions for good, so that every roster can remove this process.
    pub fn leave(&mut self) {
        self.has_left = true;
    }

    /// Returns whether this process has stopped confirming versions.
    #[must_use]
    pub const fn has_left(&self) -> bool {
        self.has_left
    }

    /// Replaces the roster by one from the table or a peer, unless that is older.
    pub fn update_roster(&mut self, roster: &Roster) {
        if roster.generation > self.roster.generation {
            self.confirmed_at.clear();
            self.roster = roster.clone();
        } else if roster.is_further_sealed(&self.roster) {
            self.roster.past.clone_from(&roster.past);
        }
    }

    /// Applies a read of the newest version (the head) that was sent at `asked`.
    pub fn on_head(&mut self, asked: instant::Instant, head: unit::Version) {
        self.merge_proof(Some(config::Proof::new(head, asked)));
    }

    /// Returns a query to send to a peer.
    #[must_use]
    pub fn ask(&self) -> Query {
        Query {
            from: self.incarnation.clone(),
            generation: self.roster.generation,
            version: self.version,
        }
    }

    /// Returns the reply to a peer's query.
    #[must_use]
    pub fn answer(&self, query: &Query, now: instant::Instant) -> Reply {
        let is_newer = self.roster.generation > query.generation;
        Reply {
            from: self.incarnation.clone(),
            generation: self.roster.generation,
            version: self.version,
            is_confirming: self.is_confirming(query),
            evidence: self.proof.map(|proof| exchange::Evidence {
                version: proof.version,
                age: proof.age(now),
            }),
            roster: is_newer.then(|| self.roster.clone()),
        }
    }

    /// Applies a peer's reply to a query that was sent at `asked`.
    pub fn on_reply(&mut self, asked: instant::Instant, reply: &Reply) {
        if let Some(roster) = &reply.roster {
            self.update_roster(roster);
        }
        if let Some(evidence) = reply.evidence {
            self.merge_proof(config::Proof::relayed(
                evidence.version,
                asked,
                evidence.age,
            ));
        }
        let is_same = reply.generation == self.roster.generation;
        if is_same && reply.is_confirming && reply.version <= self.version {
            let at = self.confirmed_at.entry(reply.from.clone()).or_default();
            *at = asked.max(*at);
        }
    }

    /// Returns the latest evidence that no newer version than this process's was accepted.
    #[must_use]
    pub fn proof(&self, now: instant::Instant) -> Option<config::Proof> {
        config::Proof::later(self.proof, self.quorum_proof(now))
    }

    /// Stores the quorum's evidence, so that replies to peers carry it.
    pub fn refresh(&mut self, now: instant::Instant) {
        self.merge_proof(self.quorum_proof(now));
    }

    fn is_confirming(&self, query: &Query) -> bool {
        query.generation == self.roster.generation
            && self.roster.member(&query.from).is_some()
            && self.can_confirm()
    }

    fn can_confirm(&self) -> bool {
        self.is_member() && !self.has_left && self.version >= self.roster.floor
    }

    /// Returns the evidence of a read quorum, in which this process counts at `now`.
    fn quorum_proof(&self, now: instant::Instant) -> Option<config::Proof> {
        if !self.can_confirm() {
            return None;
        }
        let others = self
            .roster
            .members
            .iter()
            .filter(|m| m.incarnation != self.incarnation);
        let mut times: Vec<instant::Instant> = others
            .filter_map(|m| self.confirmed_at.get(&m.incarnation).copied())
            .collect();
        times.push(now);
        times.sort_unstable();
        let oldest = times.len().checked_sub(self.roster.read_quorum())?;
        Some(config::Proof::new(self.version, times[oldest]))
    }

    /// Merges evidence; evidence of a version that is not in force here yet waits for it.
    fn merge_proof(&mut self, other: Option<config::Proof>) {
        let other = other.filter(|proof| proof.at >= self.started);
        let is_ahead = other.is_some_and(|proof| proof.version > self.version);
        if is_ahead {
            self.pending_proof = config::Proof::later(self.pending_proof, other);
        } else {
            self.proof = config::Proof::later(self.proof, other);
        }
    }
}
