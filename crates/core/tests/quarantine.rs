//! Bounds on the number of targets that one crashing request can crash.
//!
//! The model resends the request through all hosts. Crash reports between hosts
//! are lost, delayed and repeated, and the table can be unreachable.

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
const SCHEDULE_BYTES: usize = 6_144;
const HOSTS: usize = 8;

/// Connectivity between the hosts and to the table during one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Network {
    /// Crash reports arrive, with delay, and the table responds.
    Connected,
    /// Neither other hosts nor the table can be reached.
    Isolated,
    /// The quarantine is switched off.
    Unprotected,
}

struct Model {
    network: Network,
    now: instant::Instant,
    breakers: Vec<quarantine::Breaker>,
    running: Vec<bool>,
    reports: Vec<(usize, quarantine::Crash)>,
    lock: Option<quarantine::ProbeLock>,
    probes: usize,
    crashes: usize,
}

fn fingerprint() -> idempotency::Fingerprint {
    idempotency::Fingerprint::new(None, "GET", "/stock?crash", b"")
}

fn target(number: usize) -> name::Target {
    name::Target::new(&format!("target-{number}")).expect("a name")
}

fn breaker(host: usize) -> quarantine::Breaker {
    let reporter = name::Incarnation::new(&format!("host-{host}")).expect("a name");
    quarantine::Breaker::new(quarantine::Limits::default(), &reporter)
}

impl Model {
    fn new(network: Network) -> Self {
        Self {
            network,
            now: instant::Instant::ORIGIN,
            breakers: (0..HOSTS).map(breaker).collect(),
            running: vec![false; HOSTS],
            reports: Vec::new(),
            lock: None,
            probes: 0,
            crashes: 0,
        }
    }

    fn wall_time(&self) -> timestamp::Timestamp {
        timestamp::Timestamp::from_millis(self.now.as_micros() / 1_000)
    }

    /// Sends the request through a host.
    fn send(&mut self, host: usize) {
        let action = self.breakers[host].admit(self.now, fingerprint());
        let action = match (self.network, action) {
            (Network::Unprotected, _) => quarantine::Action::Run,
            (Network::Isolated, quarantine::Action::Probe) => {
                self.breakers[host].admit_offline(self.now, fingerprint())
            }
            (Network::Connected, quarantine::Action::Probe) => self.probe(host),
            (_, action) => action,
        };
        if action == quarantine::Action::Run && !self.running[host] {
            self.running[host] = true;
        }
    }

    fn probe(&mut self, host: usize) -> quarantine::Action {
        let window = quarantine::Limits::default().window;
        let wall_time = self.wall_time();
        if self
            .lock
            .as_ref()
            .is_some_and(|lock| lock.is_held(wall_time, window))
        {
            return quarantine::Action::Refuse;
        }
        self.probes += 1;
        self.lock = Some(quarantine::ProbeLock {
            write_id: format!("probe-{}", self.probes),
            acquired: wall_time,
        });
        self.breakers[host].admit_probe(self.now, fingerprint())
    }

    /// Crashes the target that runs the request for a host.
    fn crash(&mut self, host: usize) {
        if !std::mem::take(&mut self.running[host]) {
            return;
        }
        self.crashes += 1;
        let outcome = quarantine::RunOutcome::Crashed(target(self.crashes));
        let report = self.breakers[host].finish(self.now, fingerprint(), outcome);
        if self.network != Network::Connected {
            return;
        }
        for other in (0..HOSTS).filter(|other| *other != host) {
            self.reports
                .extend(report.clone().map(|report| (other, report)));
        }
    }

    fn deliver(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        if self.reports.is_empty() {
            return Ok(());
        }
        let index = u.choose_index(self.reports.len())?;
        let (host, report) = self.reports[index].clone();
        if !u.ratio(1, 4)? {
            self.reports.swap_remove(index);
        }
        self.breakers[host].record_remote(self.now, &report);
        Ok(())
    }

    fn step(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        self.now = self.now + time::Duration::from_millis(u.int_in_range(0..=300)?);
        let host = u.choose_index(HOSTS)?;
        match u.int_in_range(0..=3)? {
            0 | 1 => self.send(host),
            2 => self.crash(host),
            _ => self.deliver(u)?,
        }
        Ok(())
    }
}

/// Returns the maximum number of crashes within one window over all schedules.
fn max_crashes(network: Network) -> usize {
    let mut max_crashes = 0;
    for seed in 0..SCHEDULES {
        let mut bytes = vec![0; SCHEDULE_BYTES];
        rand_chacha::ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let mut u = arbitrary::Unstructured::new(&bytes);
        let mut model = Model::new(network);
        let window = quarantine::Limits::default().window;
        while !u.is_empty() && model.now.since(instant::Instant::ORIGIN) < window {
            model.step(&mut u).expect("enough bytes");
        }
        max_crashes = max_crashes.max(model.crashes);
    }
    println!("{network:?}: at most {max_crashes} crashes");
    max_crashes
}

#[test]
fn resent_through_all_hosts_it_crashes_at_most_one_target_per_host_plus_one() {
    let crashes = max_crashes(Network::Connected);
    assert!((2..=HOSTS + 1).contains(&crashes), "{crashes} crashes");
}

#[test]
fn with_all_hosts_isolated_it_crashes_at_most_two_targets_per_host() {
    let crashes = max_crashes(Network::Isolated);
    assert!((HOSTS..=2 * HOSTS).contains(&crashes), "{crashes} crashes");
}

#[test]
fn without_quarantine_it_crashes_more_than_two_targets_per_host() {
    assert!(max_crashes(Network::Unprotected) > 2 * HOSTS);
}

#[test]
fn resent_one_at_a_time_it_crashes_two_targets() {
    let mut model = Model::new(Network::Connected);
    for round in 0..100 {
        let host = round % HOSTS;
        model.now = model.now + time::Duration::from_millis(50);
        model.send(host);
        model.crash(host);
        for (host, report) in std::mem::take(&mut model.reports) {
            model.breakers[host].record_remote(model.now, &report);
        }
    }
    assert_eq!(model.crashes, 2);
    assert!(
        model
            .breakers
            .iter()
            .all(|breaker| breaker.is_quarantined(model.now, fingerprint()))
    );
}

#[test]
fn a_trusted_request_stays_allowed_after_a_target_crash() {
    let mut breaker = breaker(0);
    let now = instant::Instant::ORIGIN;
    assert_eq!(breaker.admit(now, fingerprint()), quarantine::Action::Run);
    assert_eq!(breaker.admit(now, fingerprint()), quarantine::Action::Wait);
    breaker.finish(now, fingerprint(), quarantine::RunOutcome::Answered);
    for _ in 0..5 {
        assert_eq!(breaker.admit(now, fingerprint()), quarantine::Action::Run);
    }
    for _ in 0..5 {
        breaker.finish(
            now,
            fingerprint(),
            quarantine::RunOutcome::Crashed(target(1)),
        );
    }
    assert_eq!(breaker.admit(now, fingerprint()), quarantine::Action::Run);
}

#[test]
fn a_harmless_request_is_probed_after_a_crash_and_then_trusted() {
    let mut breaker = breaker(0);
    let now = instant::Instant::ORIGIN;
    breaker.admit(now, fingerprint());
    let report = breaker.finish(
        now,
        fingerprint(),
        quarantine::RunOutcome::Crashed(target(1)),
    );
    assert!(report.is_some());
    assert_eq!(breaker.admit(now, fingerprint()), quarantine::Action::Probe);
    assert_eq!(
        breaker.admit_probe(now, fingerprint()),
        quarantine::Action::Run
    );
    breaker.finish(now, fingerprint(), quarantine::RunOutcome::Answered);
    assert_eq!(breaker.admit(now, fingerprint()), quarantine::Action::Run);
}

#[test]
fn without_the_table_a_suspect_request_runs_after_the_pause() {
    let mut breaker = breaker(0);
    let now = instant::Instant::ORIGIN;
    breaker.admit(now, fingerprint());
    breaker.finish(
        now,
        fingerprint(),
        quarantine::RunOutcome::Crashed(target(1)),
    );
    assert_eq!(
        breaker.admit_offline(now, fingerprint()),
        quarantine::Action::Refuse
    );
    let later = now + quarantine::Limits::default().offline_pause;
    assert_eq!(
        breaker.admit_offline(later, fingerprint()),
        quarantine::Action::Run
    );
    breaker.finish(
        later,
        fingerprint(),
        quarantine::RunOutcome::Crashed(target(2)),
    );
    assert_eq!(
        breaker.admit(later, fingerprint()),
        quarantine::Action::Refuse
    );
    let end = later + quarantine::Limits::default().window;
    assert_eq!(breaker.admit(end, fingerprint()), quarantine::Action::Run);
}

#[test]
fn repeated_crash_reports_count_once() {
    let mut breaker = breaker(0);
    let mut now = instant::Instant::ORIGIN;
    let report = quarantine::Crash {
        fingerprint: fingerprint(),
        target: target(1),
        reporter: name::Incarnation::new("host-1").expect("a name"),
        number: 1,
    };
    for _ in 0..3 {
        breaker.record_remote(now, &report);
        now = now + time::Duration::from_secs(5);
    }
    assert!(!breaker.is_quarantined(now, fingerprint()));
}

#[test]
fn at_the_limit_the_oldest_trusted_fingerprints_are_discarded() {
    let reporter = name::Incarnation::new("host-0").expect("a name");
    let limits = quarantine::Limits {
        max_fingerprints: 2,
        ..quarantine::Limits::default()
    };
    let mut breaker = quarantine::Breaker::new(limits, &reporter);
    let now = instant::Instant::ORIGIN;
    let fingerprint = |number: u8| idempotency::Fingerprint::new(None, "GET", "/stock", &[number]);
    for number in 0..5 {
        assert_eq!(
            breaker.admit(now, fingerprint(number)),
            quarantine::Action::Run
        );
        breaker.finish(now, fingerprint(number), quarantine::RunOutcome::Answered);
    }
    for number in [4, 3] {
        assert_eq!(
            breaker.admit(now, fingerprint(number)),
            quarantine::Action::Run
        );
        assert_eq!(
            breaker.admit(now, fingerprint(number)),
            quarantine::Action::Run
        );
    }
    assert_eq!(breaker.admit(now, fingerprint(0)), quarantine::Action::Run);
    assert_eq!(breaker.admit(now, fingerprint(0)), quarantine::Action::Wait);
}
