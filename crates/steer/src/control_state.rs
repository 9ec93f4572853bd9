//! Control state: records, roster, hosts and leases, merged from the table and from peers.

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

/// Time for which one renewal of a lease entitles its holder to act.
pub const LEASE_DURATION: time::Duration = time::Duration::from_secs(4);

/// Records, roster, hosts and leases as this control process knows them.
#[derive(Debug)]
pub struct ControlState {
    /// Replica of the configuration records.
    pub config: config::State,
    /// Records in force, shared with the pushed views.
    pub records: sync::Arc<Vec<record::Document>>,
    /// Roster of the members and evidence of freshness.
    pub node: member::Node,
    /// Entry hosts of each zone, as its member lists them.
    pub directory: directory::Directory,
    /// Row versions of leases whose holder this process no longer supports.
    pub fences: lease::Fences,
    /// Electors of the leases for which this process contends.
    pub electors: collections::BTreeMap<String, lease::Elector>,
    /// Latest status of this host's entry process, absent while it cannot be reached.
    pub entry: Option<EntryStatus>,
    member: member::Member,
    detectors: collections::BTreeMap<name::Incarnation, member::Detector>,
}

/// Status that this host's entry process reported in its reply to a push.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryStatus {
    /// Incarnation of the entry process.
    pub incarnation: name::Incarnation,
    /// Whether it accepts new requests.
    pub phase: control::Phase,
    /// Version of the records that it has in force.
    pub version: unit::Version,
}

impl ControlState {
    /// Creates the state of a process that started at `now` and has read nothing yet.
    pub fn new(member: member::Member, now: instant::Instant) -> Self {
        Self {
            config: config::State::new(),
            records: sync::Arc::default(),
            node: member::Node::new(member.incarnation.clone(), now),
            directory: directory::Directory::default(),
            fences: lease::Fences::new(),
            electors: collections::BTreeMap::new(),
            entry: None,
            detectors: collections::BTreeMap::new(),
            member,
        }
    }

    /// Applies changes in the order of their versions, up to the first missing one.
    pub fn apply(&mut self, changes: &[record::Change]) {
        let before = self.config.version();
        for change in changes {
            self.config.apply(change);
        }
        self.on_config_change(before);
    }

    /// Replaces all records by those of a version, unless it is older than the one in force.
    pub fn replace(&mut self, version: unit::Version, records: &[record::Document]) {
        let before = self.config.version();
        self.config.replace(version, records);
        self.on_config_change(before);
    }

    fn on_config_change(&mut self, before: unit::Version) {
        let version = self.config.version();
        if version == before {
            return;
        }
        log::info!(version:% = version; "records in force");
        self.records = sync::Arc::new(self.config.documents().cloned().collect());
        self.node.set_version(version);
    }

    /// Updates the roster from the table or a peer, and the set of failure detectors with it.
    pub fn update_roster(&mut self, roster: &member::Roster, now: instant::Instant) {
        let before = self.node.roster().generation;
        self.node.update_roster(roster);
        let roster = self.node.roster();
        if roster.generation == before {
            return;
        }
        log::info!(generation = roster.generation, members = roster.members.len(); "roster updated");
        let members = &roster.members;
        let is_member =
            |incarnation: &name::Incarnation| members.iter().any(|m| m.incarnation == *incarnation);
        self.detectors
            .retain(|incarnation, _detector| is_member(incarnation));
        for member in members {
            self.detectors
                .entry(member.incarnation.clone())
                .or_insert(member::Detector::new(now));
        }
    }

    /// Records that the heartbeat row of a member was read at `row_version`.
    pub fn on_heartbeat(
        &mut self,
        incarnation: &name::Incarnation,
        row_version: u64,
        now: instant::Instant,
    ) {
        if let Some(detector) = self.detectors.get_mut(incarnation) {
            detector.on_heartbeat(row_version, now);
        }
    }

    /// Returns whether another member gave no sign of life for `timeout`.
    pub fn is_silent(
        &self,
        incarnation: &name::Incarnation,
        timeout: time::Duration,
        now: instant::Instant,
    ) -> bool {
        let detector = self.detectors.get(incarnation);
        *incarnation != self.member.incarnation
            && detector.is_some_and(|detector| detector.is_silent(timeout, now))
    }

    /// Answers a peer's poll, which also counts as a sign of life of that peer.
    pub fn answer(&mut self, request: &peer::Request, now: instant::Instant) -> peer::Reply {
        self.on_contact(&request.membership.from, now);
        let zone_peer = request.host.as_ref().filter(|h| h.zone == self.member.zone);
        if let Some(host) = zone_peer {
            self.directory
                .record_contact(host.clone(), request.installed, now);
        }
        self.node.refresh(now);
        let answer = self.node.answer(&request.membership, now);
        let is_supported = |held: &&peer::HeldLease| {
            answer.is_confirming && self.fences.allows(&held.lease, held.version)
        };
        let supported = request
            .leases
            .iter()
            .filter(is_supported)
            .cloned()
            .collect();
        peer::Reply {
            supported,
            listings: self.directory.differing(&request.etags),
            membership: answer,
        }
    }

    /// Merges a peer's reply to a request that was sent at `asked`.
    pub fn on_reply(
        &mut self,
        reply: &peer::Reply,
        asked: instant::Instant,
        now: instant::Instant,
    ) {
        if let Some(roster) = &reply.membership.roster {
            self.update_roster(roster, now);
        }
        self.node.on_reply(asked, &reply.membership);
        self.config.observe_version(reply.membership.version);
        self.on_contact(&reply.membership.from, now);
        for listing in &reply.listings {
            if listing.origin != self.member.incarnation {
                self.directory.merge(listing, self.node.roster());
            }
        }
        if reply.membership.generation == self.node.roster().generation {
            self.count_support(reply, asked);
        }
    }

    fn on_contact(&mut self, incarnation: &name::Incarnation, now: instant::Instant) {
        if let Some(detector) = self.detectors.get_mut(incarnation) {
            detector.on_reply(now);
        }
    }

    fn count_support(&mut self, reply: &peer::Reply, asked: instant::Instant) {
        for held in &reply.supported {
            if let Some(elector) = self.electors.get_mut(&held.lease) {
                let roster = self.node.roster();
                let row = (held.lease.as_str(), held.version);
                elector.on_support(&reply.membership.from, row, &self.fences, roster, asked);
            }
        }
    }

    /// Withdraws support for the holder of a lease, unless this process itself is the holder.
    ///
    /// Returns whether the support was withdrawn.
    pub fn fence(&mut self, lease: &str, version: u64) -> bool {
        let elector = self.electors.get(lease);
        if elector.and_then(lease::Elector::held_version).is_some() {
            return false;
        }
        self.fences.fence(lease, version);
        true
    }

    /// Returns the elector of a lease, for which this process contends from now on.
    pub fn elector(&mut self, lease: &str) -> &mut lease::Elector {
        let timing = lease::Timing {
            duration: LEASE_DURATION,
        };
        let incarnation = self.member.incarnation.clone();
        let elector = self.electors.entry(lease.to_owned());
        elector.or_insert_with(|| lease::Elector::new(incarnation, timing))
    }

    /// Returns the leases that this process holds, with the versions of their rows.
    pub fn held_leases(&self) -> Vec<peer::HeldLease> {
        let held = |(lease, elector): (&String, &lease::Elector)| {
            Some(peer::HeldLease {
                lease: lease.clone(),
                version: elector.held_version()?,
            })
        };
        self.electors.iter().filter_map(held).collect()
    }

    /// Returns the version that this host's entry process has in force.
    pub fn entry_version(&self) -> unit::Version {
        let entry = self.entry.as_ref();
        entry.map_or(unit::Version::NONE, |entry| entry.version)
    }

    /// Returns the entry hosts of all zones that have a member, in any phase.
    ///
    /// The host of a silent member is left out as soon as this process, itself a member, finds it
    /// silent; the other hosts of that zone only once the zone has no member.
    pub fn hosts(
        &self,
        silence_timeout: time::Duration,
        now: instant::Instant,
    ) -> Vec<control::Host> {
        let roster = self.node.roster();
        let is_silent_member = |host: &control::Host| {
            let member = roster
                .zone_member(&host.zone)
                .filter(|m| m.host == host.host);
            member.is_some_and(|m| self.is_silent(&m.incarnation, silence_timeout, now))
        };
        let mut hosts = self.directory.hosts(roster);
        hosts.retain(|host| !self.node.is_member() || !is_silent_member(host));
        hosts
    }

    /// Returns the peers to poll.
    ///
    /// A member polls all other members. Any other process polls the member of its zone, or all
    /// members while that one is silent or missing.
    pub fn peers(
        &self,
        silence_timeout: time::Duration,
        now: instant::Instant,
    ) -> Vec<member::Member> {
        let roster = self.node.roster();
        let others = roster.members.iter();
        let others = others.filter(|m| m.incarnation != self.member.incarnation);
        let zone_member = roster.zone_member(&self.member.zone);
        let zone_member =
            zone_member.filter(|m| !self.is_silent(&m.incarnation, silence_timeout, now));
        match zone_member {
            Some(member) if !self.node.is_member() => vec![member.clone()],
            _ => others.cloned().collect(),
        }
    }
}
