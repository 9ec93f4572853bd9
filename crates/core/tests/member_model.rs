//! Simulation of membership and leases under random faults.
//!
//! Hosts in several zones read the newest version (the head), query each other, join
//! and leave the roster and contend for one lease. Meanwhile zones lose contact with
//! each other and with the table, messages are late or lost, hosts are killed,
//! restarted and frozen, and clocks drift. The simulation knows the true state and
//! checks that no host acts on stale records and that the lease has one holder.

use std::collections;
use std::ops;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use skylark_core::config;
use skylark_core::instant;
use skylark_core::lease;
use skylark_core::member;
use skylark_core::name;
use skylark_core::unit;

const SEEDS: u64 = 200;
/// Seeds for the comparison of freshness rules.
const COMPARISON_SEEDS: u64 = 60;
const LIVENESS_SEEDS: u64 = 12;
/// End of the range of seeds in the test that is run by hand.
const LONG_SEEDS: u64 = 5_000;
const STEPS: usize = 3_000;
const MAX_EVIDENCE_AGE: time::Duration = time::Duration::from_secs(5);
const LEASE_DURATION: time::Duration = time::Duration::from_secs(4);
const LIVENESS_TIMEOUT: time::Duration = time::Duration::from_secs(4);
const LEASE_NAME: &str = "lease";

/// A safety mechanism that a simulation omits, to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Omitted {
    Nothing,
    /// Evidence from a peer counts as new, however old it is.
    EvidenceAge,
    /// Evidence counts from the reply instead of the query.
    QueryTime,
    /// One confirming member is enough as evidence.
    ReadQuorum,
    /// Earlier rosters are dropped before they are sealed.
    Sealing,
    /// A contender takes over before the delay has passed.
    TakeoverDelay,
    /// A contender counts every member as fencing without asking it.
    Fences,
    /// A term counts from the reply to the write instead of its sending.
    SendTime,
    /// Records are used however old the evidence is.
    AgeLimit,
    /// Members do not confirm versions, so only the table gives evidence.
    Confirmation,
}

/// Counts of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tally {
    /// Checks in which a host used a version after its successor was accepted for too long.
    stale_uses: u64,
    /// Checks in which a host used a version whose successor was accepted before it started.
    reversions: u64,
    /// Checks in which two hosts held the lease at the same time.
    two_holders: u64,
    accepted: u64,
    checks: u64,
    fresh: u64,
    fresh_by_quorum: u64,
    held: u64,
    held_by_support: u64,
    takeovers: u64,
    generations: u64,
}

#[derive(Clone, Debug)]
enum Op {
    ReadHead,
    ReadRoster,
    WriteRoster {
        version: u64,
        head: u64,
        roster: member::Roster,
    },
    Query {
        to: usize,
        query: member::Query,
        held: Option<u64>,
    },
    Fence {
        to: usize,
        version: u64,
    },
    ReadLease,
    WriteLease {
        version: u64,
        row: lease::Row,
    },
}

#[derive(Clone, Debug)]
enum Reply {
    Head(u64),
    Roster {
        version: u64,
        head: u64,
        roster: member::Roster,
    },
    Answer {
        reply: Box<member::Reply>,
        is_supporting: bool,
    },
    Fenced {
        member: name::Incarnation,
        version: u64,
        is_fenced: bool,
    },
    Lease(lease::Versioned),
    LeaseWritten,
    Done,
}

#[derive(Clone, Debug)]
struct Call {
    from: usize,
    incarnation: name::Incarnation,
    asked: instant::Instant,
    due: u64,
    op: Op,
    reply: Option<Reply>,
}

#[derive(Clone, Debug)]
struct Host {
    name: name::Host,
    zone: usize,
    incarnation: name::Incarnation,
    /// True time of the start, in microseconds.
    started: u64,
    /// Local clock at the start, in microseconds.
    offset: u64,
    drift_ppm: i64,
    /// True time, in microseconds.
    frozen_until: u64,
    node: member::Node,
    elector: lease::Elector,
    fences: lease::Fences,
    detectors: collections::BTreeMap<name::Incarnation, member::Detector>,
    /// Version of the roster's row, newest version (head) and roster, as last read.
    roster: Option<(u64, u64, member::Roster)>,
    head_read_at: Option<instant::Instant>,
    lease_written_at: instant::Instant,
}

struct World {
    rng: rand_chacha::ChaCha8Rng,
    omitted: Omitted,
    now: u64,
    zones: usize,
    hosts: Vec<Host>,
    calls: Vec<Call>,
    zone_cuts: Vec<Vec<bool>>,
    store_cuts: Vec<bool>,
    is_down: bool,
    head: u64,
    roster: (u64, member::Roster),
    lease: lease::Versioned,
    heartbeats: collections::BTreeMap<name::Incarnation, u64>,
    reports: collections::BTreeMap<name::Incarnation, member::Report>,
    accepted: Vec<u64>,
    started_hosts: u64,
    tally: Tally,
}

impl Host {
    fn local(&self, true_time: u64) -> instant::Instant {
        let since = i64::try_from(true_time - self.started).expect("short simulation");
        let drift = since * self.drift_ppm / 1_000_000;
        let local = u64::try_from(since + drift).expect("small drift");
        instant::Instant::from_micros(self.offset + local)
    }

    fn member(&self) -> member::Member {
        member::Member {
            incarnation: self.incarnation.clone(),
            host: self.name.clone(),
            zone: zone(self.zone),
            steer: "127.0.0.1:1".parse().expect("valid address"),
        }
    }

    fn is_fresh(&self, now: instant::Instant) -> bool {
        let version = self.node.version();
        let proof = self.node.proof(now);
        proof.is_some_and(|proof| proof.is_fresh(version, MAX_EVIDENCE_AGE, now))
    }
}

fn zone(number: usize) -> name::Zone {
    name::Zone::new(&format!("zone-{number}")).expect("valid name")
}

impl World {
    fn new(seed: u64, omitted: Omitted) -> Self {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let zones = rng.random_range(1..=7);
        let count = zones + rng.random_range(0..=3);
        let mut world = Self {
            rng,
            omitted,
            now: 0,
            zones,
            hosts: Vec::new(),
            calls: Vec::new(),
            zone_cuts: vec![vec![false; zones]; zones],
            store_cuts: vec![false; zones],
            is_down: false,
            head: 1,
            roster: (0, member::Roster::default()),
            lease: lease::Versioned::default(),
            heartbeats: collections::BTreeMap::new(),
            reports: collections::BTreeMap::new(),
            accepted: vec![0, 0],
            started_hosts: 0,
            tally: Tally::default(),
        };
        for number in 0..count {
            let host = world.new_host(number);
            world.hosts.push(host);
        }
        world
    }

    fn new_host(&mut self, number: usize) -> Host {
        self.started_hosts += 1;
        let incarnation =
            name::Incarnation::new(&format!("process-{}", self.started_hosts)).expect("valid name");
        let timing = lease::Timing {
            duration: LEASE_DURATION,
        };
        let offset = self.rng.random_range(0..2_000_000);
        Host {
            name: name::Host::new(&format!("host-{number}")).expect("valid name"),
            zone: number % self.zones,
            incarnation: incarnation.clone(),
            started: self.now,
            offset,
            drift_ppm: self.rng.random_range(-400..=400),
            frozen_until: 0,
            node: member::Node::new(incarnation.clone(), instant::Instant::from_micros(offset)),
            elector: lease::Elector::new(incarnation, timing),
            fences: lease::Fences::new(),
            detectors: collections::BTreeMap::new(),
            roster: None,
            head_read_at: None,
            lease_written_at: instant::Instant::ORIGIN,
        }
    }

    fn run(mut self) -> Tally {
        for _step in 0..STEPS {
            self.step();
            self.observe();
        }
        self.tally.generations = self.roster.1.generation;
        self.tally
    }

    fn step(&mut self) {
        match self.rng.random_range(0..1_000) {
            0..=299 => self.now += self.rng.random_range(0..200_000),
            300..=301 => self.now += self.rng.random_range(0..8_000_000),
            302..=311 => self.inject_fault(),
            312..=321 => self.repair(),
            322..=329 => self.raise_version(),
            330..=599 => self.act(),
            _ => (0..10).for_each(|_call| self.deliver_one()),
        }
    }

    fn inject_fault(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        let (a, b) = (
            self.rng.random_range(0..self.zones),
            self.rng.random_range(0..self.zones),
        );
        match self.rng.random_range(0..12) {
            0 => self.hosts[host] = self.new_host(host),
            1..=2 => {
                let span = self.rng.random_range(0..15_000_000);
                self.hosts[host].frozen_until = self.now + span;
            }
            3..=4 if a != b => self.set_cut(a, b, true),
            5 => (0..self.zones)
                .filter(|zone| *zone != a)
                .for_each(|zone| self.set_cut(a, zone, true)),
            6..=7 => self.store_cuts[a] = true,
            8 => self.is_down = true,
            _ => self.freeze_lease_writer(),
        }
    }

    /// Freezes a host before it receives the confirmation of its write of the lease.
    fn freeze_lease_writer(&mut self) {
        let is_write = |call: &&Call| matches!(call.reply, Some(Reply::LeaseWritten));
        if let Some(call) = self.calls.iter().find(is_write) {
            self.hosts[call.from].frozen_until = self.now + 25_000_000;
        }
    }

    fn repair(&mut self) {
        let (a, b) = (
            self.rng.random_range(0..self.zones),
            self.rng.random_range(0..self.zones),
        );
        match self.rng.random_range(0..5) {
            0 => self.is_down = false,
            1 => self.store_cuts[a] = false,
            2 => self.set_cut(a, b, false),
            3 => (0..self.zones).for_each(|zone| self.set_cut(a, zone, false)),
            _ => {
                self.is_down = false;
                self.store_cuts.fill(false);
                self.zone_cuts.iter_mut().for_each(|row| row.fill(false));
            }
        }
    }

    fn set_cut(&mut self, a: usize, b: usize, is_cut: bool) {
        self.zone_cuts[a][b] = is_cut;
        self.zone_cuts[b][a] = is_cut;
    }

    /// Raises the newest version, as an operator does who reaches the table unless it is down.
    fn raise_version(&mut self) {
        if !self.is_down {
            self.head += 1;
        }
    }

    /// Lets a random host take one of its periodic actions.
    fn act(&mut self) {
        let index = self.rng.random_range(0..self.hosts.len());
        if self.hosts[index].frozen_until > self.now {
            return;
        }
        let now = self.hosts[index].local(self.now);
        self.hosts[index].node.refresh(now);
        match self.rng.random_range(0..10) {
            0..=1 => self.send(index, Op::ReadHead),
            2..=3 => self.send(index, Op::ReadRoster),
            4 => self.update_roster_row(index),
            5..=7 => self.contend(index),
            _ => self.query_peers(index),
        }
    }

    fn send(&mut self, from: usize, op: Op) {
        let host = &self.hosts[from];
        self.calls.push(Call {
            from,
            incarnation: host.incarnation.clone(),
            asked: host.local(self.now),
            due: self.now,
            op,
            reply: None,
        });
    }

    fn query_peers(&mut self, from: usize) {
        for to in 0..self.hosts.len() {
            if to != from {
                let query = self.hosts[from].node.ask();
                let held = self.hosts[from].elector.held_version();
                self.send(from, Op::Query { to, query, held });
            }
        }
    }

    /// Writes the roster if the host should join, seal earlier rosters or remove a silent member.
    fn update_roster_row(&mut self, index: usize) {
        let now = self.hosts[index].local(self.now);
        let host = &mut self.hosts[index];
        let Some((version, head, roster)) = host.roster.clone() else {
            return;
        };
        for m in &roster.members {
            let detector = host.detectors.entry(m.incarnation.clone());
            let version = self.heartbeats.get(&m.incarnation).copied().unwrap_or(0);
            detector
                .or_insert(member::Detector::new(now))
                .on_heartbeat(version, now);
        }
        let is_silent = |m: &member::Member, times: u32| {
            let detector = host.detectors.get(&m.incarnation);
            detector.is_some_and(|detector| detector.is_silent(LIVENESS_TIMEOUT * times, now))
        };
        let generation = host.node.roster().generation;
        let newest = unit::Version::new(head);
        let next = member::reconfigure(&roster, &host.member(), generation, newest, is_silent, &[]);
        let Some(mut next) = next else {
            return;
        };
        if self.omitted == Omitted::Sealing {
            next.past.clear();
        }
        self.send(
            index,
            Op::WriteRoster {
                version,
                head,
                roster: next,
            },
        );
    }

    fn contend(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let now = host.local(self.now);
        let roster = host.node.roster().clone();
        let until = host.elector.term().until;
        let decision_time = match self.omitted {
            Omitted::TakeoverDelay if until < now => now + LEASE_DURATION * 2,
            _ => now,
        };
        match host.elector.decide(&roster, decision_time) {
            lease::Action::Wait | lease::Action::Read => self.send(index, Op::ReadLease),
            lease::Action::Fence(version) => self.fence(index, version),
            lease::Action::Write { version, row } => {
                if self.omitted != Omitted::SendTime {
                    host.elector.on_send(version, row.clone(), now);
                }
                self.send(index, Op::WriteLease { version, row });
            }
        }
    }

    fn fence(&mut self, index: usize, version: u64) {
        let host = &mut self.hosts[index];
        let now = host.local(self.now);
        let roster = host.node.roster().clone();
        if self.omitted == Omitted::Fences {
            for m in &roster.members {
                host.elector
                    .on_fenced(&m.incarnation, version, &roster, now);
            }
            return;
        }
        host.fences.fence(LEASE_NAME, version);
        let me = host.incarnation.clone();
        host.elector.on_fenced(&me, version, &roster, now);
        for to in (0..self.hosts.len()).filter(|to| *to != index) {
            self.send(index, Op::Fence { to, version });
        }
    }

    /// Delivers one call to its receiver or its reply to the caller, or loses it.
    fn deliver_one(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let prefers_old = self.rng.random_bool(0.7);
        let last = if prefers_old {
            self.calls.len().min(8)
        } else {
            self.calls.len()
        };
        let index = self.rng.random_range(0..last);
        let call = self.calls.remove(index);
        let is_caller_frozen =
            call.reply.is_some() && self.hosts[call.from].frozen_until > self.now;
        if is_caller_frozen || call.due > self.now {
            self.calls.push(call);
            return;
        }
        if self.rng.random_bool(0.02) {
            return;
        }
        match &call.reply {
            None => self.deliver_request(call),
            Some(_reply) => self.deliver_reply(&call),
        }
    }

    fn deliver_request(&mut self, mut call: Call) {
        let zone = self.hosts[call.from].zone;
        let peer = match &call.op {
            Op::Query { to, .. } | Op::Fence { to, .. } => Some(*to),
            _ => None,
        };
        let is_cut = match peer {
            Some(to) => self.zone_cuts[zone][self.hosts[to].zone],
            None => self.is_down || self.store_cuts[zone],
        };
        let is_frozen = peer.is_some_and(|to| self.hosts[to].frozen_until > self.now);
        let is_late = is_cut && self.rng.random_bool(0.3);
        if is_frozen || is_late {
            self.calls.push(call);
            return;
        }
        if is_cut {
            return;
        }
        call.reply = Some(self.serve(&call));
        if self.rng.random_bool(0.03) {
            call.due = self.now + self.rng.random_range(0..12_000_000);
        }
        self.calls.push(call);
    }

    fn serve(&mut self, call: &Call) -> Reply {
        match &call.op {
            Op::ReadHead => Reply::Head(self.head),
            Op::ReadRoster => {
                *self.heartbeats.entry(call.incarnation.clone()).or_insert(0) += 1;
                Reply::Roster {
                    version: self.roster.0,
                    head: self.head,
                    roster: self.roster.1.clone(),
                }
            }
            Op::WriteRoster {
                version,
                head,
                roster,
            } => {
                if self.roster.0 == *version && self.head == *head {
                    self.roster = (version + 1, roster.clone());
                }
                Reply::Done
            }
            Op::Query { to, query, held } => {
                let host = &self.hosts[*to];
                let reply = host.node.answer(query, host.local(self.now));
                let is_supporting = reply.is_confirming
                    && held.is_some_and(|version| host.fences.allows(LEASE_NAME, version));
                Reply::Answer {
                    reply: Box::new(reply),
                    is_supporting,
                }
            }
            Op::Fence { to, version } => {
                let host = &mut self.hosts[*to];
                let is_fenced = host.elector.held_version().is_none();
                if is_fenced {
                    host.fences.fence(LEASE_NAME, *version);
                }
                Reply::Fenced {
                    member: host.incarnation.clone(),
                    version: *version,
                    is_fenced,
                }
            }
            Op::ReadLease => Reply::Lease(self.lease.clone()),
            Op::WriteLease { version, row } => {
                if self.lease.version != *version {
                    return Reply::Lease(self.lease.clone());
                }
                let holder = self.lease.row.as_ref().and_then(|r| r.holder.as_ref());
                if holder != row.holder.as_ref() {
                    self.tally.takeovers += 1;
                }
                self.lease = lease::Versioned {
                    version: version + 1,
                    row: Some(row.clone()),
                };
                Reply::LeaseWritten
            }
        }
    }

    fn deliver_reply(&mut self, call: &Call) {
        let true_time = self.now;
        let has_new_records = self.rng.random_bool(0.5);
        let host = &mut self.hosts[call.from];
        if host.incarnation != call.incarnation {
            return;
        }
        let now = host.local(true_time);
        let asked = if self.omitted == Omitted::QueryTime {
            now
        } else {
            call.asked
        };
        match call.reply.clone().expect("the call has a reply") {
            Reply::Head(head) => {
                let head = unit::Version::new(head);
                host.node.on_head(asked, head);
                host.node.set_version(head);
                host.head_read_at = Some(asked);
            }
            Reply::Roster {
                version,
                head,
                roster,
            } => {
                let is_newer = host.roster.as_ref().is_none_or(|(v, ..)| version >= *v);
                if is_newer {
                    host.roster = Some((version, head, roster.clone()));
                }
                host.node.update_roster(&roster);
                if has_new_records {
                    host.node.set_version(unit::Version::new(head));
                }
            }
            Reply::Answer {
                mut reply,
                is_supporting,
            } => {
                if self.omitted == Omitted::Confirmation {
                    reply.is_confirming = false;
                }
                if self.omitted == Omitted::EvidenceAge {
                    reply
                        .evidence
                        .iter_mut()
                        .for_each(|e| e.age = time::Duration::ZERO);
                }
                host.node.on_reply(asked, &reply);
                if self.omitted == Omitted::ReadQuorum && reply.is_confirming {
                    host.node.on_head(asked, reply.version);
                }
                if has_new_records {
                    host.node.set_version(reply.version);
                }
                if let Some(detector) = host.detectors.get_mut(&reply.from) {
                    detector.on_reply(now);
                }
                if let (
                    true,
                    Op::Query {
                        held: Some(version),
                        ..
                    },
                ) = (is_supporting, &call.op)
                {
                    let roster = host.node.roster().clone();
                    if reply.generation == roster.generation {
                        host.elector.on_support(
                            &reply.from,
                            (LEASE_NAME, *version),
                            &host.fences,
                            &roster,
                            asked,
                        );
                    }
                }
            }
            Reply::Fenced {
                member,
                version,
                is_fenced,
            } => {
                let roster = host.node.roster().clone();
                if is_fenced {
                    host.elector.on_fenced(&member, version, &roster, now);
                }
            }
            Reply::Lease(seen) => host.elector.on_read(seen, call.asked, now),
            Reply::LeaseWritten => {
                if let (Omitted::SendTime, Op::WriteLease { version, row }) =
                    (self.omitted, &call.op)
                {
                    host.elector.on_send(*version, row.clone(), now);
                }
                if let Op::WriteLease { version, .. } = &call.op {
                    host.lease_written_at = now;
                    host.elector.on_written(*version);
                }
            }
            Reply::Done => {}
        }
    }

    /// Records which versions are accepted, and checks every host.
    fn observe(&mut self) {
        for host in &self.hosts {
            let report = member::Report {
                incarnation: host.incarnation.clone(),
                generation: host.node.roster().generation,
                version: host.node.version(),
            };
            self.reports.insert(host.incarnation.clone(), report);
        }
        let reports: Vec<member::Report> = self.reports.values().cloned().collect();
        while self.accepted.len() as u64 <= self.head {
            let next = unit::Version::new(self.accepted.len() as u64);
            if !self.roster.1.is_accepted(next, &reports) {
                break;
            }
            self.accepted.push(self.now);
            self.tally.accepted += 1;
        }
        self.check();
    }

    fn check(&mut self) {
        let awake = self.hosts.iter().filter(|h| h.frozen_until <= self.now);
        let mut holders = 0;
        for host in awake {
            let now = host.local(self.now);
            let version = host.node.version().get();
            self.tally.checks += 1;
            let is_unbounded = self.omitted == Omitted::AgeLimit && host.node.proof(now).is_some();
            if host.is_fresh(now) || is_unbounded {
                self.tally.fresh += 1;
                let is_quorum = host
                    .head_read_at
                    .is_none_or(|at| now.since(at) > MAX_EVIDENCE_AGE);
                self.tally.fresh_by_quorum += u64::from(is_quorum);
                let newer = self
                    .accepted
                    .get(usize::try_from(version).expect("small") + 1);
                let limit = config::lengthen_for_drift(MAX_EVIDENCE_AGE).as_micros();
                let is_late = newer.is_some_and(|at| u128::from(self.now - at) > limit);
                self.tally.stale_uses += u64::from(is_late);
                let is_reversion = newer.is_some_and(|at| *at < host.started);
                self.tally.reversions += u64::from(is_reversion);
            }
            if host.elector.term().is_valid(now) {
                holders += 1;
                self.tally.held += 1;
                let is_supported = now.since(host.lease_written_at) > LEASE_DURATION;
                self.tally.held_by_support += u64::from(is_supported);
            }
        }
        self.tally.two_holders += u64::from(holders > 1);
    }
}

impl Tally {
    fn add(&mut self, other: &Self) {
        self.stale_uses += other.stale_uses;
        self.reversions += other.reversions;
        self.two_holders += other.two_holders;
        self.accepted += other.accepted;
        self.checks += other.checks;
        self.fresh += other.fresh;
        self.fresh_by_quorum += other.fresh_by_quorum;
        self.held += other.held;
        self.held_by_support += other.held_by_support;
        self.takeovers += other.takeovers;
        self.generations += other.generations;
    }
}

fn run(seeds: ops::Range<u64>, omitted: Omitted) -> Tally {
    let mut sum = Tally::default();
    for seed in seeds.clone() {
        let tally = World::new(seed, omitted).run();
        let harm = tally.stale_uses + tally.reversions + tally.two_holders;
        assert!(
            omitted != Omitted::Nothing || harm == 0,
            "seed {seed}: {tally:?}"
        );
        sum.add(&tally);
    }
    println!("{omitted:?} over seeds {seeds:?}: {sum:?}");
    sum
}

fn assert_safety(seeds: ops::Range<u64>) {
    let tally = run(seeds, Omitted::Nothing);
    assert!(tally.accepted > 0 && tally.fresh_by_quorum > 0, "{tally:?}");
    assert!(
        tally.takeovers > 0 && tally.held_by_support > 0,
        "{tally:?}"
    );
}

#[test]
fn no_stale_records_and_one_holder_over_random_schedules() {
    assert_safety(0..SEEDS);
}

#[test]
#[ignore = "takes minutes; run it with --release after a change to membership or leases"]
fn no_stale_records_and_one_holder_over_many_random_schedules() {
    assert_safety(SEEDS..LONG_SEEDS);
}

/// Asserts that a simulation without the mechanism does harm with some seed.
fn assert_is_needed(omitted: Omitted, harm: fn(&Tally) -> u64) {
    let runs = (0..SEEDS).map(|seed| (seed, World::new(seed, omitted).run()));
    let found = runs.into_iter().find(|(_seed, tally)| harm(tally) > 0);
    let (seed, tally) = found.unwrap_or_else(|| panic!("{omitted:?} shows no harm"));
    println!("{omitted:?}: seed {seed}, harm {}", harm(&tally));
}

#[test]
fn evidence_needs_age_query_time_quorum_and_sealing() {
    let harm = |tally: &Tally| tally.stale_uses;
    for omitted in [
        Omitted::EvidenceAge,
        Omitted::QueryTime,
        Omitted::ReadQuorum,
        Omitted::Sealing,
    ] {
        assert_is_needed(omitted, harm);
    }
}

#[test]
fn evidence_is_safer_than_serving_always_and_more_available_than_the_table_alone() {
    let ours = run(0..COMPARISON_SEEDS, Omitted::Nothing);
    let always = run(0..COMPARISON_SEEDS, Omitted::AgeLimit);
    let never = run(0..COMPARISON_SEEDS, Omitted::Confirmation);
    assert!(always.stale_uses > 0, "{always:?}");
    assert_eq!(never.stale_uses, 0, "{never:?}");
    assert!(never.fresh < ours.fresh && ours.fresh < always.fresh);
}

#[test]
fn a_lease_needs_takeover_delay_fences_and_send_time() {
    let harm = |tally: &Tally| tally.two_holders;
    for omitted in [Omitted::TakeoverDelay, Omitted::Fences, Omitted::SendTime] {
        assert_is_needed(omitted, harm);
    }
}

#[test]
fn a_restarted_process_needs_evidence_from_after_its_start() {
    assert_is_needed(Omitted::EvidenceAge, |tally| tally.reversions);
}

impl World {
    /// Runs without faults and version changes for a span.
    fn run_without_faults(&mut self, span: time::Duration) {
        let end = self.now + u64::try_from(span.as_micros()).expect("short span");
        while self.now < end {
            match self.rng.random_range(0..10) {
                0 => self.now += self.rng.random_range(0..50_000),
                1..=5 => self.act(),
                _ => (0..20).for_each(|_call| self.deliver_one()),
            }
            self.observe();
        }
    }

    fn with_settled_roster(seed: u64) -> Self {
        let mut world = Self::new(seed, Omitted::Nothing);
        world.run_without_faults(LIVENESS_TIMEOUT * 10);
        assert_eq!(world.roster.1.members.len(), world.zones, "seed {seed}");
        assert!(world.roster.1.is_settled(), "seed {seed}");
        world
    }

    fn fresh(&self) -> Vec<bool> {
        let hosts = self.hosts.iter();
        hosts.map(|h| h.is_fresh(h.local(self.now))).collect()
    }

    fn holder(&self) -> Option<usize> {
        let is_held = |h: &Host| h.elector.term().is_valid(h.local(self.now));
        self.hosts.iter().position(is_held)
    }
}

#[test]
fn connected_hosts_stay_fresh_while_the_store_is_down() {
    for seed in 0..LIVENESS_SEEDS {
        let mut world = World::with_settled_roster(seed);
        let holder = world.holder().expect("the lease has a holder");
        let is_supported = world
            .roster
            .1
            .member(&world.hosts[holder].incarnation)
            .is_some();
        world.is_down = true;
        world.run_without_faults(MAX_EVIDENCE_AGE * 6);
        assert!(
            world.fresh().iter().all(|is_fresh| *is_fresh),
            "seed {seed}: {:?}",
            world.fresh()
        );
        if is_supported && world.zones > 1 {
            assert_eq!(world.holder(), Some(holder), "seed {seed}");
        }
    }
}

#[test]
fn losing_one_zone_of_four_leaves_the_others_fresh_while_the_store_is_down() {
    for seed in 0..LIVENESS_SEEDS {
        let mut world = World::with_settled_roster(seed);
        if world.zones < 4 {
            continue;
        }
        world.is_down = true;
        (1..world.zones).for_each(|zone| world.set_cut(0, zone, true));
        world.run_without_faults(MAX_EVIDENCE_AGE * 6);
        for (host, is_fresh) in world.hosts.iter().zip(world.fresh()) {
            assert_eq!(is_fresh, host.zone != 0, "seed {seed}, zone {}", host.zone);
        }
    }
}

#[test]
fn only_a_zone_cut_from_store_and_peers_becomes_stale() {
    for seed in 0..LIVENESS_SEEDS {
        let mut world = World::with_settled_roster(seed);
        if world.zones < 2 {
            continue;
        }
        world.store_cuts[0] = true;
        (1..world.zones).for_each(|zone| world.set_cut(0, zone, true));
        world.raise_version();
        world.run_without_faults(LIVENESS_TIMEOUT * 8);
        let newest = usize::try_from(world.head).expect("small");
        assert_eq!(
            world.accepted.len(),
            newest + 1,
            "seed {seed}: the change was accepted"
        );
        for (host, is_fresh) in world.hosts.iter().zip(world.fresh()) {
            assert_eq!(is_fresh, host.zone != 0, "seed {seed}, zone {}", host.zone);
        }
    }
}

#[test]
fn a_dead_holder_is_replaced_although_the_roster_changes_meanwhile() {
    for seed in 0..LIVENESS_SEEDS {
        let mut world = World::with_settled_roster(seed);
        let holder = world.holder().expect("the lease has a holder");
        if world.hosts.len() < 2 {
            continue;
        }
        world.hosts[holder].frozen_until = u64::MAX;
        world.run_without_faults(LEASE_DURATION * 6);
        let frozen = world.hosts.remove(holder);
        assert!(world.holder().is_some(), "seed {seed}");
        assert!(
            !frozen.elector.term().is_valid(frozen.local(world.now)),
            "seed {seed}"
        );
    }
}
