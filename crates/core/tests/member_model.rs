//! Random schedules of faults against what the hosts claim to know.
//!
//! Hosts in several zones read the head, ask each other, join and leave the
//! roster and contend for one lease, while zones are cut from each other and
//! from the table, answers are late or lost, hosts are killed, restarted and
//! frozen, and clocks drift. The model sees everything and checks the claims.

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
const RULE_SEEDS: u64 = 60;
const LIVENESS_SEEDS: u64 = 12;
const LONG_SEEDS: u64 = 5_000;
const STEPS: usize = 3_000;
const BOUND: time::Duration = time::Duration::from_secs(5);
const LENGTH: time::Duration = time::Duration::from_secs(4);
const SILENCE: time::Duration = time::Duration::from_secs(4);
const LEASE: &str = "lease";

/// A mechanism that the model leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    Age,
    AskTime,
    Quorum,
    Seal,
    ClaimWait,
    Bars,
    SendTime,
    /// Keys are honoured however old the evidence is.
    Bound,
    /// Members do not vouch, so only the table makes evidence.
    Vouching,
}

/// What a run showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tally {
    withdrawn_honoured: u64,
    reverted: u64,
    two_holders: u64,
    accepted: u64,
    seen: u64,
    open: u64,
    open_by_quorum: u64,
    held: u64,
    held_by_help: u64,
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
    Ask {
        to: usize,
        ask: member::Query,
        held: Option<u64>,
    },
    Bar {
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
        answer: Box<member::Reply>,
        is_helping: bool,
    },
    Barred {
        member: name::Incarnation,
        version: u64,
        is_barred: bool,
    },
    Lease(lease::Versioned),
    LeaseWritten,
    Done,
}

#[derive(Clone, Debug)]
struct Call {
    from: usize,
    life: name::Incarnation,
    asked: instant::Instant,
    due: u64,
    op: Op,
    reply: Option<Reply>,
}

#[derive(Clone, Debug)]
struct Host {
    name: name::Host,
    zone: usize,
    life: name::Incarnation,
    started: u64,
    offset: u64,
    ppm: i64,
    frozen_until: u64,
    node: member::Node,
    seat: lease::Elector,
    bars: lease::Fences,
    watches: collections::BTreeMap<name::Incarnation, member::Detector>,
    known: Option<(u64, u64, member::Roster)>,
    refreshed: Option<instant::Instant>,
    renewed: instant::Instant,
}

struct World {
    rng: rand_chacha::ChaCha8Rng,
    without: Without,
    now: u64,
    zones: usize,
    hosts: Vec<Host>,
    calls: Vec<Call>,
    cut: Vec<Vec<bool>>,
    store_cut: Vec<bool>,
    is_down: bool,
    head: u64,
    roster: (u64, member::Roster),
    lease: lease::Versioned,
    beats: collections::BTreeMap<name::Incarnation, u64>,
    reports: collections::BTreeMap<name::Incarnation, member::Report>,
    accepted: Vec<u64>,
    lives: u64,
    tally: Tally,
}

impl Host {
    fn local(&self, real: u64) -> instant::Instant {
        let since = i64::try_from(real - self.started).expect("the run is short");
        let drift = since * self.ppm / 1_000_000;
        let local = u64::try_from(since + drift).expect("the drift is small");
        instant::Instant::from_micros(self.offset + local)
    }

    fn member(&self) -> member::Member {
        member::Member {
            incarnation: self.life.clone(),
            host: self.name.clone(),
            zone: zone(self.zone),
            steer: "127.0.0.1:1".parse().expect("a good address"),
        }
    }

    fn is_open(&self, now: instant::Instant) -> bool {
        let version = self.node.version();
        let proof = self.node.proof(now);
        proof.is_some_and(|proof| proof.is_fresh(version, BOUND, now))
    }
}

fn zone(number: usize) -> name::Zone {
    name::Zone::new(&format!("zone-{number}")).expect("a good name")
}

impl World {
    fn new(seed: u64, without: Without) -> Self {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let zones = rng.random_range(1..=7);
        let count = zones + rng.random_range(0..=3);
        let mut world = Self {
            rng,
            without,
            now: 0,
            zones,
            hosts: Vec::new(),
            calls: Vec::new(),
            cut: vec![vec![false; zones]; zones],
            store_cut: vec![false; zones],
            is_down: false,
            head: 1,
            roster: (0, member::Roster::default()),
            lease: lease::Versioned::default(),
            beats: collections::BTreeMap::new(),
            reports: collections::BTreeMap::new(),
            accepted: vec![0, 0],
            lives: 0,
            tally: Tally::default(),
        };
        for number in 0..count {
            let host = world.life(number);
            world.hosts.push(host);
        }
        world
    }

    fn life(&mut self, number: usize) -> Host {
        self.lives += 1;
        let life = name::Incarnation::new(&format!("life-{}", self.lives)).expect("a good name");
        let terms = lease::Timing { duration: LENGTH };
        let offset = self.rng.random_range(0..2_000_000);
        Host {
            name: name::Host::new(&format!("host-{number}")).expect("a good name"),
            zone: number % self.zones,
            life: life.clone(),
            started: self.now,
            offset,
            ppm: self.rng.random_range(-400..=400),
            frozen_until: 0,
            node: member::Node::new(life.clone(), instant::Instant::from_micros(offset)),
            seat: lease::Elector::new(life, terms),
            bars: lease::Fences::new(),
            watches: collections::BTreeMap::new(),
            known: None,
            refreshed: None,
            renewed: instant::Instant::ORIGIN,
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
            302..=311 => self.fault(),
            312..=321 => self.heal(),
            322..=329 => self.operate(),
            330..=599 => self.tick(),
            _ => (0..10).for_each(|_call| self.progress()),
        }
    }

    fn fault(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        let (a, b) = (
            self.rng.random_range(0..self.zones),
            self.rng.random_range(0..self.zones),
        );
        match self.rng.random_range(0..12) {
            0 => self.hosts[host] = self.life(host),
            1..=2 => {
                let span = self.rng.random_range(0..15_000_000);
                self.hosts[host].frozen_until = self.now + span;
            }
            3..=4 if a != b => self.set_cut(a, b, true),
            5 => (0..self.zones)
                .filter(|z| *z != a)
                .for_each(|z| self.set_cut(a, z, true)),
            6..=7 => self.store_cut[a] = true,
            8 => self.is_down = true,
            _ => self.freeze_writer(),
        }
    }

    /// Freezes a host before it hears that its write of the lease took effect.
    fn freeze_writer(&mut self) {
        let is_write = |call: &&Call| matches!(call.reply, Some(Reply::LeaseWritten));
        if let Some(call) = self.calls.iter().find(is_write) {
            self.hosts[call.from].frozen_until = self.now + 25_000_000;
        }
    }

    fn heal(&mut self) {
        let (a, b) = (
            self.rng.random_range(0..self.zones),
            self.rng.random_range(0..self.zones),
        );
        match self.rng.random_range(0..5) {
            0 => self.is_down = false,
            1 => self.store_cut[a] = false,
            2 => self.set_cut(a, b, false),
            3 => (0..self.zones).for_each(|z| self.set_cut(a, z, false)),
            _ => {
                self.is_down = false;
                self.store_cut.fill(false);
                self.cut.iter_mut().for_each(|row| row.fill(false));
            }
        }
    }

    fn set_cut(&mut self, a: usize, b: usize, is_cut: bool) {
        self.cut[a][b] = is_cut;
        self.cut[b][a] = is_cut;
    }

    /// An operator, who reaches the table unless it is down, raises the version.
    fn operate(&mut self) {
        if !self.is_down {
            self.head += 1;
        }
    }

    /// One host does one of the things that it does in turn.
    fn tick(&mut self) {
        let index = self.rng.random_range(0..self.hosts.len());
        if self.hosts[index].frozen_until > self.now {
            return;
        }
        let now = self.hosts[index].local(self.now);
        self.hosts[index].node.refresh(now);
        match self.rng.random_range(0..10) {
            0..=1 => self.send(index, Op::ReadHead),
            2..=3 => self.send(index, Op::ReadRoster),
            4 => self.keep_roster(index),
            5..=7 => self.contend(index),
            _ => self.ask_peers(index),
        }
    }

    fn send(&mut self, from: usize, op: Op) {
        let host = &self.hosts[from];
        self.calls.push(Call {
            from,
            life: host.life.clone(),
            asked: host.local(self.now),
            due: self.now,
            op,
            reply: None,
        });
    }

    fn ask_peers(&mut self, from: usize) {
        for to in 0..self.hosts.len() {
            if to != from {
                let ask = self.hosts[from].node.ask();
                let held = self.hosts[from].seat.held_version();
                self.send(from, Op::Ask { to, ask, held });
            }
        }
    }

    /// Joins, seals earlier rosters, or removes a silent member.
    fn keep_roster(&mut self, index: usize) {
        let now = self.hosts[index].local(self.now);
        let host = &mut self.hosts[index];
        let Some((version, head, roster)) = host.known.clone() else {
            return;
        };
        for m in &roster.members {
            let watch = host.watches.entry(m.incarnation.clone());
            let beat = self.beats.get(&m.incarnation).copied().unwrap_or(0);
            watch
                .or_insert(member::Detector::new(now))
                .on_heartbeat(beat, now);
        }
        let is_silent = |m: &member::Member, times: u32| {
            let watch = host.watches.get(&m.incarnation);
            watch.is_some_and(|watch| watch.is_silent(SILENCE * times, now))
        };
        let generation = host.node.roster().generation;
        let newest = unit::Version::new(head);
        let next = member::reconfigure(&roster, &host.member(), generation, newest, is_silent, &[]);
        let Some(mut next) = next else {
            return;
        };
        if self.without == Without::Seal {
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
        let until = host.seat.term().until;
        let reckoned = match self.without {
            Without::ClaimWait if until < now => now + LENGTH * 2,
            _ => now,
        };
        match host.seat.decide(&roster, reckoned) {
            lease::Action::Wait | lease::Action::Read => self.send(index, Op::ReadLease),
            lease::Action::Fence(version) => self.bar(index, version),
            lease::Action::Write { version, row } => {
                if self.without != Without::SendTime {
                    host.seat.on_send(version, row.clone(), now);
                }
                self.send(index, Op::WriteLease { version, row });
            }
        }
    }

    fn bar(&mut self, index: usize, version: u64) {
        let host = &mut self.hosts[index];
        let now = host.local(self.now);
        let roster = host.node.roster().clone();
        if self.without == Without::Bars {
            for m in &roster.members {
                host.seat.on_fenced(&m.incarnation, version, &roster, now);
            }
            return;
        }
        host.bars.fence(LEASE, version);
        let me = host.life.clone();
        host.seat.on_fenced(&me, version, &roster, now);
        for to in (0..self.hosts.len()).filter(|to| *to != index) {
            self.send(index, Op::Bar { to, version });
        }
    }

    /// One call reaches its receiver, its answer reaches the caller, or it is lost.
    fn progress(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let is_old = self.rng.random_bool(0.7);
        let last = if is_old {
            self.calls.len().min(8)
        } else {
            self.calls.len()
        };
        let index = self.rng.random_range(0..last);
        let call = self.calls.remove(index);
        let is_asleep = call.reply.is_some() && self.hosts[call.from].frozen_until > self.now;
        if is_asleep || call.due > self.now {
            self.calls.push(call);
            return;
        }
        if self.rng.random_bool(0.02) {
            return;
        }
        match &call.reply {
            None => self.arrive(call),
            Some(_reply) => self.return_to(&call),
        }
    }

    fn arrive(&mut self, mut call: Call) {
        let zone = self.hosts[call.from].zone;
        let peer = match &call.op {
            Op::Ask { to, .. } | Op::Bar { to, .. } => Some(*to),
            _ => None,
        };
        let is_cut = match peer {
            Some(to) => self.cut[zone][self.hosts[to].zone],
            None => self.is_down || self.store_cut[zone],
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
                *self.beats.entry(call.life.clone()).or_insert(0) += 1;
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
            Op::Ask { to, ask, held } => {
                let host = &self.hosts[*to];
                let answer = host.node.answer(ask, host.local(self.now));
                let is_helping = answer.is_confirming
                    && held.is_some_and(|version| host.bars.allows(LEASE, version));
                Reply::Answer {
                    answer: Box::new(answer),
                    is_helping,
                }
            }
            Op::Bar { to, version } => {
                let host = &mut self.hosts[*to];
                let is_barred = host.seat.held_version().is_none();
                if is_barred {
                    host.bars.fence(LEASE, *version);
                }
                Reply::Barred {
                    member: host.life.clone(),
                    version: *version,
                    is_barred,
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

    fn return_to(&mut self, call: &Call) {
        let real = self.now;
        let has_records = self.rng.random_bool(0.5);
        let host = &mut self.hosts[call.from];
        if host.life != call.life {
            return;
        }
        let now = host.local(real);
        let asked = if self.without == Without::AskTime {
            now
        } else {
            call.asked
        };
        match call.reply.clone().expect("only answered calls return") {
            Reply::Head(head) => {
                let head = unit::Version::new(head);
                host.node.on_head(asked, head);
                host.node.set_version(head);
                host.refreshed = Some(asked);
            }
            Reply::Roster {
                version,
                head,
                roster,
            } => {
                let is_newer = host.known.as_ref().is_none_or(|(v, ..)| version >= *v);
                if is_newer {
                    host.known = Some((version, head, roster.clone()));
                }
                host.node.update_roster(&roster);
                if has_records {
                    host.node.set_version(unit::Version::new(head));
                }
            }
            Reply::Answer {
                mut answer,
                is_helping,
            } => {
                if self.without == Without::Vouching {
                    answer.is_confirming = false;
                }
                if self.without == Without::Age {
                    answer
                        .evidence
                        .iter_mut()
                        .for_each(|e| e.age = time::Duration::ZERO);
                }
                host.node.on_answer(asked, &answer);
                if self.without == Without::Quorum && answer.is_confirming {
                    host.node.on_head(asked, answer.version);
                }
                if has_records {
                    host.node.set_version(answer.version);
                }
                if let Some(watch) = host.watches.get_mut(&answer.from) {
                    watch.on_answer(now);
                }
                if let (
                    true,
                    Op::Ask {
                        held: Some(version),
                        ..
                    },
                ) = (is_helping, &call.op)
                {
                    let roster = host.node.roster().clone();
                    if answer.generation == roster.generation {
                        host.seat.on_support(
                            &answer.from,
                            (LEASE, *version),
                            &host.bars,
                            &roster,
                            asked,
                        );
                    }
                }
            }
            Reply::Barred {
                member,
                version,
                is_barred,
            } => {
                let roster = host.node.roster().clone();
                if is_barred {
                    host.seat.on_fenced(&member, version, &roster, now);
                }
            }
            Reply::Lease(seen) => host.seat.on_read(seen, call.asked, now),
            Reply::LeaseWritten => {
                if let (Without::SendTime, Op::WriteLease { version, row }) =
                    (self.without, &call.op)
                {
                    host.seat.on_send(*version, row.clone(), now);
                }
                if let Op::WriteLease { version, .. } = &call.op {
                    host.renewed = now;
                    host.seat.on_written(*version);
                }
            }
            Reply::Done => {}
        }
    }

    /// Notes what is accepted and checks every claim of every host.
    fn observe(&mut self) {
        for host in &self.hosts {
            let report = member::Report {
                incarnation: host.life.clone(),
                generation: host.node.roster().generation,
                version: host.node.version(),
            };
            self.reports.insert(host.life.clone(), report);
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
            self.tally.seen += 1;
            let is_unbounded = self.without == Without::Bound && host.node.proof(now).is_some();
            if host.is_open(now) || is_unbounded {
                self.tally.open += 1;
                let is_quorum = host.refreshed.is_none_or(|at| now.since(at) > BOUND);
                self.tally.open_by_quorum += u64::from(is_quorum);
                let newer = self
                    .accepted
                    .get(usize::try_from(version).expect("small") + 1);
                let limit = config::lengthen_for_drift(BOUND).as_micros();
                let is_late = newer.is_some_and(|at| u128::from(self.now - at) > limit);
                self.tally.withdrawn_honoured += u64::from(is_late);
                let is_reverted = newer.is_some_and(|at| *at < host.started);
                self.tally.reverted += u64::from(is_reverted);
            }
            if host.seat.term().is_valid(now) {
                holders += 1;
                self.tally.held += 1;
                let is_helped = now.since(host.renewed) > LENGTH;
                self.tally.held_by_help += u64::from(is_helped);
            }
        }
        self.tally.two_holders += u64::from(holders > 1);
    }
}

impl Tally {
    fn add(&mut self, other: &Self) {
        self.withdrawn_honoured += other.withdrawn_honoured;
        self.reverted += other.reverted;
        self.two_holders += other.two_holders;
        self.accepted += other.accepted;
        self.seen += other.seen;
        self.open += other.open;
        self.open_by_quorum += other.open_by_quorum;
        self.held += other.held;
        self.held_by_help += other.held_by_help;
        self.takeovers += other.takeovers;
        self.generations += other.generations;
    }
}

fn run(seeds: ops::Range<u64>, without: Without) -> Tally {
    let mut sum = Tally::default();
    for seed in seeds.clone() {
        let tally = World::new(seed, without).run();
        let harm = tally.withdrawn_honoured + tally.reverted + tally.two_holders;
        assert!(
            without != Without::Nothing || harm == 0,
            "seed {seed}: {tally:?}"
        );
        sum.add(&tally);
    }
    println!("{without:?} over seeds {seeds:?}: {sum:?}");
    sum
}

fn assert_claims_hold(seeds: ops::Range<u64>) {
    let tally = run(seeds, Without::Nothing);
    assert!(tally.accepted > 0 && tally.open_by_quorum > 0, "{tally:?}");
    assert!(tally.takeovers > 0 && tally.held_by_help > 0, "{tally:?}");
}

#[test]
fn no_claim_is_wrong_over_random_schedules() {
    assert_claims_hold(0..SEEDS);
}

#[test]
#[ignore = "takes minutes: run it with --release after a change to the rules"]
fn no_claim_is_wrong_over_many_random_schedules() {
    assert_claims_hold(SEEDS..LONG_SEEDS);
}

/// Runs seed after seed until the model shows harm, and fails if none does.
fn assert_is_needed(without: Without, harm: fn(&Tally) -> u64) {
    let runs = (0..SEEDS).map(|seed| (seed, World::new(seed, without).run()));
    let found = runs.into_iter().find(|(_seed, tally)| harm(tally) > 0);
    let (seed, tally) = found.unwrap_or_else(|| panic!("{without:?} shows no harm"));
    println!("{without:?}: seed {seed}, harm {}", harm(&tally));
}

#[test]
fn evidence_needs_age_ask_time_quorum_and_seal() {
    let harm = |tally: &Tally| tally.withdrawn_honoured;
    for without in [
        Without::Age,
        Without::AskTime,
        Without::Quorum,
        Without::Seal,
    ] {
        assert_is_needed(without, harm);
    }
}

#[test]
fn neither_serving_always_nor_refusing_without_the_table_does_as_well() {
    let ours = run(0..RULE_SEEDS, Without::Nothing);
    let always = run(0..RULE_SEEDS, Without::Bound);
    let never = run(0..RULE_SEEDS, Without::Vouching);
    assert!(always.withdrawn_honoured > 0, "{always:?}");
    assert_eq!(never.withdrawn_honoured, 0, "{never:?}");
    assert!(never.open < ours.open && ours.open < always.open);
}

#[test]
fn a_lease_needs_wait_bars_and_send_time() {
    let harm = |tally: &Tally| tally.two_holders;
    for without in [Without::ClaimWait, Without::Bars, Without::SendTime] {
        assert_is_needed(without, harm);
    }
}

#[test]
fn a_new_life_needs_evidence_of_its_own_time() {
    assert_is_needed(Without::Age, |tally| tally.reverted);
}

impl World {
    /// Runs without faults or operators until a span has passed.
    fn calm(&mut self, span: time::Duration) {
        let end = self.now + u64::try_from(span.as_micros()).expect("the span is short");
        while self.now < end {
            match self.rng.random_range(0..10) {
                0 => self.now += self.rng.random_range(0..50_000),
                1..=5 => self.tick(),
                _ => (0..20).for_each(|_call| self.progress()),
            }
            self.observe();
        }
    }

    fn settled(seed: u64) -> Self {
        let mut world = Self::new(seed, Without::Nothing);
        world.calm(SILENCE * 10);
        assert_eq!(world.roster.1.members.len(), world.zones, "seed {seed}");
        assert!(world.roster.1.is_settled(), "seed {seed}");
        world
    }

    fn open(&self) -> Vec<bool> {
        let open = self.hosts.iter();
        open.map(|h| h.is_open(h.local(self.now))).collect()
    }

    fn holder(&self) -> Option<usize> {
        let is_held = |h: &Host| h.seat.term().is_valid(h.local(self.now));
        self.hosts.iter().position(is_held)
    }
}

#[test]
fn hosts_that_hear_each_other_stay_open_while_the_store_is_down() {
    for seed in 0..LIVENESS_SEEDS {
        let mut world = World::settled(seed);
        let holder = world.holder().expect("someone holds the lease");
        let is_helped = world.roster.1.member(&world.hosts[holder].life).is_some();
        world.is_down = true;
        world.calm(BOUND * 6);
        assert!(
            world.open().iter().all(|open| *open),
            "seed {seed}: {:?}",
            world.open()
        );
        if is_helped && world.zones > 1 {
            assert_eq!(world.holder(), Some(holder), "seed {seed}");
        }
    }
}

#[test]
fn one_lost_zone_of_four_closes_no_other_while_the_store_is_down() {
    for seed in 0..LIVENESS_SEEDS {
        let mut world = World::settled(seed);
        if world.zones < 4 {
            continue;
        }
        world.is_down = true;
        (1..world.zones).for_each(|zone| world.set_cut(0, zone, true));
        world.calm(BOUND * 6);
        for (host, is_open) in world.hosts.iter().zip(world.open()) {
            assert_eq!(is_open, host.zone != 0, "seed {seed}, zone {}", host.zone);
        }
    }
}

#[test]
fn a_zone_cut_from_store_and_peers_closes_and_the_others_go_on() {
    for seed in 0..LIVENESS_SEEDS {
        let mut world = World::settled(seed);
        if world.zones < 2 {
            continue;
        }
        world.store_cut[0] = true;
        (1..world.zones).for_each(|zone| world.set_cut(0, zone, true));
        world.operate();
        world.calm(SILENCE * 8);
        let newest = usize::try_from(world.head).expect("small");
        assert_eq!(
            world.accepted.len(),
            newest + 1,
            "seed {seed}: the change was accepted"
        );
        for (host, is_open) in world.hosts.iter().zip(world.open()) {
            assert_eq!(is_open, host.zone != 0, "seed {seed}, zone {}", host.zone);
        }
    }
}

#[test]
fn a_dead_holder_is_followed_by_another_although_the_roster_changes_meanwhile() {
    for seed in 0..LIVENESS_SEEDS {
        let mut world = World::settled(seed);
        let holder = world.holder().expect("someone holds the lease");
        if world.hosts.len() < 2 {
            continue;
        }
        world.hosts[holder].frozen_until = u64::MAX;
        world.calm(LENGTH * 6);
        let frozen = world.hosts.remove(holder);
        assert!(world.holder().is_some(), "seed {seed}");
        assert!(
            !frozen.seat.term().is_valid(frozen.local(world.now)),
            "seed {seed}"
        );
    }
}
