//! What the control process knows, and what it takes from peers and the table.

use std::collections;
use std::sync;
use std::time;

use skylark_core::config;
use skylark_core::instant;
use skylark_core::lease;
use skylark_core::member;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::control;
use skylark_wire::peer;

use super::directory;

/// Time for which a renewal of a lease lets its holder act.
pub const LEASE_LENGTH: time::Duration = time::Duration::from_secs(4);

/// What the control process knows.
#[derive(Debug)]
pub struct Known {
    /// Versions of the records.
    pub config: config::State,
    /// Records of the version in force, for the host's processes.
    pub records: sync::Arc<Vec<record::Document>>,
    /// The roster and the evidence of freshness.
    pub node: member::Node,
    /// Entry hosts of each zone.
    pub directory: directory::Directory,
    /// Leases whose holder gets no more help.
    pub bars: lease::Fences,
    /// Leases for which this process contends.
    pub seats: collections::BTreeMap<String, lease::Elector>,
    /// What this host's entry process said last.
    pub entry: Option<Entry>,
    me: member::Member,
    watches: collections::BTreeMap<name::Incarnation, member::Detector>,
}

/// What this host's entry process said last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of this life of the entry process.
    pub incarnation: name::Incarnation,
    /// Whether it takes new work.
    pub phase: control::Phase,
    /// Version that it has in force.
    pub version: unit::Version,
}

impl Known {
    /// Creates the knowledge of a process that started now.
    pub fn new(me: member::Member, now: instant::Instant) -> Self {
        Self {
            config: config::State::new(),
            records: sync::Arc::default(),
            node: member::Node::new(me.incarnation.clone(), now),
            directory: directory::Directory::default(),
            bars: lease::Fences::new(),
            seats: collections::BTreeMap::new(),
            entry: None,
            watches: collections::BTreeMap::new(),
            me,
        }
    }

    /// Puts changes in force, in order, as far as none is missing.
    pub fn apply(&mut self, changes: &[record::Change]) {
        let before = self.config.version();
        for change in changes {
            self.config.apply(change);
        }
        self.adopt(before);
    }

    /// Puts all records of a version in force unless it is older.
    pub fn replace(&mut self, version: unit::Version, records: &[record::Document]) {
        let before = self.config.version();
        self.config.replace(version, records);
        self.adopt(before);
    }

    fn adopt(&mut self, before: unit::Version) {
        let version = self.config.version();
        if version == before {
            return;
        }
        log::info!(version:% = version; "records in force");
        self.records = sync::Arc::new(self.config.documents().cloned().collect());
        self.node.set_version(version);
    }

    /// Takes a roster from the table or a peer.
    pub fn learn(&mut self, roster: &member::Roster, now: instant::Instant) {
        let before = self.node.roster().generation;
        self.node.update_roster(roster);
        let roster = self.node.roster();
        if roster.generation == before {
            return;
        }
        log::info!(generation = roster.generation, members = roster.members.len(); "roster known");
        let members = &roster.members;
        let is_member = |life: &name::Incarnation| members.iter().any(|m| m.incarnation == *life);
        self.watches.retain(|life, _watch| is_member(life));
        for member in members {
            self.watches
                .entry(member.incarnation.clone())
                .or_insert(member::Detector::new(now));
        }
    }

    /// Takes note of the heartbeat row of a member.
    pub fn see(&mut self, life: &name::Incarnation, beat: u64, now: instant::Instant) {
        if let Some(watch) = self.watches.get_mut(life) {
            watch.on_heartbeat(beat, now);
        }
    }

    /// Returns whether a member was silent for a span.
    pub fn is_silent(
        &self,
        life: &name::Incarnation,
        span: time::Duration,
        now: instant::Instant,
    ) -> bool {
        let watch = self.watches.get(life);
        *life != self.me.incarnation && watch.is_some_and(|watch| watch.is_silent(span, now))
    }

    /// Answers a peer and takes note of its sign of life.
    pub fn answer(&mut self, question: &peer::Request, now: instant::Instant) -> peer::Reply {
        self.hear_life(&question.membership.from, now);
        let near = question.host.as_ref().filter(|h| h.zone == self.me.zone);
        if let Some(host) = near {
            self.directory.hear(host.clone(), question.installed, now);
        }
        self.node.refresh(now);
        let answer = self.node.answer(&question.membership, now);
        let is_helped = |held: &&peer::HeldLease| {
            answer.is_confirming && self.bars.allows(&held.lease, held.version)
        };
        let helped = question.leases.iter().filter(is_helped).cloned().collect();
        peer::Reply {
            supported: helped,
            listings: self.directory.differing(&question.etags),
            membership: answer,
        }
    }

    /// Takes a peer's reply to a question that was sent at `asked`.
    pub fn hear(&mut self, reply: &peer::Reply, asked: instant::Instant, now: instant::Instant) {
        if let Some(roster) = &reply.membership.roster {
            self.learn(roster, now);
        }
        self.node.on_reply(asked, &reply.membership);
        self.config.observe_version(reply.membership.version);
        self.hear_life(&reply.membership.from, now);
        for listing in &reply.listings {
            if listing.origin != self.me.incarnation {
                self.directory.take(listing, self.node.roster());
            }
        }
        if reply.membership.generation == self.node.roster().generation {
            self.extend(reply, asked);
        }
    }

    fn hear_life(&mut self, life: &name::Incarnation, now: instant::Instant) {
        if let Some(watch) = self.watches.get_mut(life) {
            watch.on_reply(now);
        }
    }

    fn extend(&mut self, reply: &peer::Reply, asked: instant::Instant) {
        for held in &reply.supported {
            if let Some(seat) = self.seats.get_mut(&held.lease) {
                let roster = self.node.roster();
                let row = (held.lease.as_str(), held.version);
                seat.on_support(&reply.membership.from, row, &self.bars, roster, asked);
            }
        }
    }

    /// Stops helping the holder of a lease, unless this process knows itself to be the holder.
    pub fn bar(&mut self, lease: &str, version: u64) -> bool {
        let seat = self.seats.get(lease);
        if seat.and_then(lease::Elector::held_version).is_some() {
            return false;
        }
        self.bars.fence(lease, version);
        true
    }

    /// Returns this process's view of a lease, for which it contends from now on.
    pub fn seat(&mut self, lease: &str) -> &mut lease::Elector {
        let terms = lease::Timing {
            duration: LEASE_LENGTH,
        };
        let life = self.me.incarnation.clone();
        let seat = self.seats.entry(lease.to_owned());
        seat.or_insert_with(|| lease::Elector::new(life, terms))
    }

    /// Returns the leases that this process holds.
    pub fn held(&self) -> Vec<peer::HeldLease> {
        let held = |(lease, seat): (&String, &lease::Elector)| {
            Some(peer::HeldLease {
                lease: lease.clone(),
                version: seat.held_version()?,
            })
        };
        self.seats.iter().filter_map(held).collect()
    }

    /// Returns the version that the entry process has in force.
    pub fn installed(&self) -> unit::Version {
        let entry = self.entry.as_ref();
        entry.map_or(unit::Version::NONE, |entry| entry.version)
    }

    /// Returns the entry hosts that are known to serve.
    ///
    /// The host of a member that was silent for a span is left out at once, the
    /// other hosts of its zone only when the zone has no member any more.
    pub fn hosts(&self, patience: time::Duration, now: instant::Instant) -> Vec<control::Host> {
        let roster = self.node.roster();
        let is_dead = |host: &control::Host| {
            let member = roster
                .zone_member(&host.zone)
                .filter(|m| m.host == host.host);
            member.is_some_and(|m| self.is_silent(&m.incarnation, patience, now))
        };
        let mut hosts = self.directory.hosts(roster);
        hosts.retain(|host| !self.node.is_member() || !is_dead(host));
        hosts
    }

    /// Returns the peers to ask: all other members, or for the rest their zone's member.
    pub fn peers(&self, patience: time::Duration, now: instant::Instant) -> Vec<member::Member> {
        let roster = self.node.roster();
        let others = roster.members.iter();
        let others = others.filter(|m| m.incarnation != self.me.incarnation);
        let mine = roster.zone_member(&self.me.zone);
        let mine = mine.filter(|m| !self.is_silent(&m.incarnation, patience, now));
        match mine {
            Some(member) if !self.node.is_member() => vec![member.clone()],
            _ => others.cloned().collect(),
        }
    }
}
