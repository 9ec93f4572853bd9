//! Deaths of targets under a request that crashes each target that runs it.
//!
//! The model resends the request through every host, with news between hosts
//! that is lost, late and repeated, and a table that can be cut off.

use std::time;

use arbtest::arbitrary;
use rand::Rng as _;
use rand::SeedableRng as _;
use skylark_core::idempotency;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::quarantine;
use skylark_core::timestamp;

const SCHEDULES: u64 = 1_500;
const BYTES: usize = 6_144;
const HOSTS: usize = 8;

/// How the hosts of a run hear of each other and of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Links {
    /// News and the table's answers arrive, if late.
    Whole,
    /// Nothing arrives at any other host, nor the table.
    Cut,
    /// No quarantine at all.
    None,
}

struct World {
    links: Links,
    now: instant::Instant,
    wards: Vec<quarantine::Breaker>,
    running: Vec<bool>,
    news: Vec<(usize, quarantine::Crash)>,
    row: Option<quarantine::ProbeLock>,
    probes: usize,
    dead: usize,
}

fn print() -> idempotency::Fingerprint {
    idempotency::Fingerprint::new(None, "GET", "/stock?crash", b"")
}

fn target(number: usize) -> name::Target {
    name::Target::new(&format!("target-{number}")).expect("a name")
}

fn ward(host: usize) -> quarantine::Breaker {
    let witness = name::Incarnation::new(&format!("host-{host}")).expect("a name");
    quarantine::Breaker::new(quarantine::Limits::default(), &witness)
}

impl World {
    fn new(links: Links) -> Self {
        Self {
            links,
            now: instant::Instant::ORIGIN,
            wards: (0..HOSTS).map(ward).collect(),
            running: vec![false; HOSTS],
            news: Vec::new(),
            row: None,
            probes: 0,
            dead: 0,
        }
    }

    fn wall(&self) -> timestamp::Timestamp {
        timestamp::Timestamp::from_millis(self.now.as_micros() / 1_000)
    }

    /// The caller sends the request through a host.
    fn send(&mut self, host: usize) {
        let pass = self.wards[host].admit(self.now, print());
        let pass = match (self.links, pass) {
            (Links::None, _) => quarantine::Action::Run,
            (Links::Cut, quarantine::Action::Probe) => {
                self.wards[host].admit_offline(self.now, print())
            }
            (Links::Whole, quarantine::Action::Probe) => self.probe(host),
            (_, pass) => pass,
        };
        if pass == quarantine::Action::Run && !self.running[host] {
            self.running[host] = true;
        }
    }

    fn probe(&mut self, host: usize) -> quarantine::Action {
        let window = quarantine::Limits::default().window;
        let wall = self.wall();
        if self
            .row
            .as_ref()
            .is_some_and(|row| row.is_held(wall, window))
        {
            return quarantine::Action::Refuse;
        }
        self.probes += 1;
        self.row = Some(quarantine::ProbeLock {
            write_id: format!("probe-{}", self.probes),
            acquired: wall,
        });
        self.wards[host].admit_probe(self.now, print())
    }

    /// The target that runs the request for a host dies.
    fn die(&mut self, host: usize) {
        if !std::mem::take(&mut self.running[host]) {
            return;
        }
        self.dead += 1;
        let ending = quarantine::RunOutcome::Crashed(target(self.dead));
        let death = self.wards[host].finish(self.now, print(), ending);
        if self.links != Links::Whole {
            return;
        }
        for other in (0..HOSTS).filter(|other| *other != host) {
            self.news.extend(death.clone().map(|death| (other, death)));
        }
    }

    fn hear(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        if self.news.is_empty() {
            return Ok(());
        }
        let index = u.choose_index(self.news.len())?;
        let (host, death) = self.news[index].clone();
        if !u.ratio(1, 4)? {
            self.news.swap_remove(index);
        }
        self.wards[host].record_remote(self.now, &death);
        Ok(())
    }

    fn step(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        self.now = self.now + time::Duration::from_millis(u.int_in_range(0..=300)?);
        let host = u.choose_index(HOSTS)?;
        match u.int_in_range(0..=3)? {
            0 | 1 => self.send(host),
            2 => self.die(host),
            _ => self.hear(u)?,
        }
        Ok(())
    }
}

/// Returns the most deaths within one window over all schedules.
fn worst(links: Links) -> usize {
    let mut worst = 0;
    for seed in 0..SCHEDULES {
        let mut bytes = vec![0; BYTES];
        rand_chacha::ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let mut u = arbitrary::Unstructured::new(&bytes);
        let mut world = World::new(links);
        let window = quarantine::Limits::default().window;
        while !u.is_empty() && world.now.since(instant::Instant::ORIGIN) < window {
            world.step(&mut u).expect("bytes enough");
        }
        worst = worst.max(world.dead);
    }
    println!("{links:?}: most deaths {worst}");
    worst
}

#[test]
fn resent_through_every_host_at_once_it_kills_one_target_a_host_and_one_more() {
    let most = worst(Links::Whole);
    assert!((2..=HOSTS + 1).contains(&most), "{most}");
}

#[test]
fn with_every_host_cut_off_it_kills_two_targets_a_host() {
    let most = worst(Links::Cut);
    assert!((HOSTS..=2 * HOSTS).contains(&most), "{most}");
}

#[test]
fn without_a_quarantine_it_kills_more_than_all_targets() {
    assert!(worst(Links::None) > 2 * HOSTS);
}

#[test]
fn sent_again_after_each_answer_it_kills_two_targets() {
    let mut world = World::new(Links::Whole);
    for round in 0..100 {
        let host = round % HOSTS;
        world.now = world.now + time::Duration::from_millis(50);
        world.send(host);
        world.die(host);
        for (host, death) in std::mem::take(&mut world.news) {
            world.wards[host].record_remote(world.now, &death);
        }
    }
    assert_eq!(world.dead, 2);
    assert!(
        world
            .wards
            .iter()
            .all(|ward| ward.is_quarantined(world.now, print()))
    );
}

#[test]
fn a_popular_request_outlives_a_dying_target_that_ran_it() {
    let mut ward = ward(0);
    let now = instant::Instant::ORIGIN;
    assert_eq!(ward.admit(now, print()), quarantine::Action::Run);
    assert_eq!(ward.admit(now, print()), quarantine::Action::Wait);
    ward.finish(now, print(), quarantine::RunOutcome::Answered);
    for _ in 0..5 {
        assert_eq!(ward.admit(now, print()), quarantine::Action::Run);
    }
    for _ in 0..5 {
        ward.finish(now, print(), quarantine::RunOutcome::Crashed(target(1)));
    }
    assert_eq!(ward.admit(now, print()), quarantine::Action::Run);
}

#[test]
fn an_unlucky_request_is_tried_again_with_the_probe_and_then_free() {
    let mut ward = ward(0);
    let now = instant::Instant::ORIGIN;
    ward.admit(now, print());
    let death = ward.finish(now, print(), quarantine::RunOutcome::Crashed(target(1)));
    assert!(death.is_some());
    assert_eq!(ward.admit(now, print()), quarantine::Action::Probe);
    assert_eq!(ward.admit_probe(now, print()), quarantine::Action::Run);
    ward.finish(now, print(), quarantine::RunOutcome::Answered);
    assert_eq!(ward.admit(now, print()), quarantine::Action::Run);
}

#[test]
fn cut_off_from_the_table_a_suspect_request_waits_out_the_pause() {
    let mut ward = ward(0);
    let now = instant::Instant::ORIGIN;
    ward.admit(now, print());
    ward.finish(now, print(), quarantine::RunOutcome::Crashed(target(1)));
    assert_eq!(ward.admit_offline(now, print()), quarantine::Action::Refuse);
    let later = now + quarantine::Limits::default().offline_pause;
    assert_eq!(ward.admit_offline(later, print()), quarantine::Action::Run);
    ward.finish(later, print(), quarantine::RunOutcome::Crashed(target(2)));
    assert_eq!(ward.admit(later, print()), quarantine::Action::Refuse);
    let end = later + quarantine::Limits::default().window;
    assert_eq!(ward.admit(end, print()), quarantine::Action::Run);
}

#[test]
fn news_that_comes_twice_counts_once() {
    let mut ward = ward(0);
    let mut now = instant::Instant::ORIGIN;
    let death = quarantine::Crash {
        fingerprint: print(),
        target: target(1),
        reporter: name::Incarnation::new("host-1").expect("a name"),
        number: 1,
    };
    for _ in 0..3 {
        ward.record_remote(now, &death);
        now = now + time::Duration::from_secs(5);
    }
    assert!(!ward.is_quarantined(now, print()));
}

#[test]
fn a_full_memory_forgets_the_oldest_successes_first() {
    let witness = name::Incarnation::new("host-0").expect("a name");
    let limits = quarantine::Limits {
        max_fingerprints: 2,
        ..quarantine::Limits::default()
    };
    let mut ward = quarantine::Breaker::new(limits, &witness);
    let now = instant::Instant::ORIGIN;
    let print = |number: u8| idempotency::Fingerprint::new(None, "GET", "/stock", &[number]);
    for number in 0..5 {
        assert_eq!(ward.admit(now, print(number)), quarantine::Action::Run);
        ward.finish(now, print(number), quarantine::RunOutcome::Answered);
    }
    for number in [4, 3] {
        assert_eq!(ward.admit(now, print(number)), quarantine::Action::Run);
        assert_eq!(ward.admit(now, print(number)), quarantine::Action::Run);
    }
    assert_eq!(ward.admit(now, print(0)), quarantine::Action::Run);
    assert_eq!(ward.admit(now, print(0)), quarantine::Action::Wait);
}
