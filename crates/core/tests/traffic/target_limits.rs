//! Limits that targets name in their answers, and the hosts' shares of them.

use std::collections;
use std::time;

use skylark_core::name;
use skylark_core::traffic;

use super::common;

/// Time between two steps of the simulated fleet.
const STEP_MILLIS: u64 = 20;
/// Time between two rounds of messages between hosts.
const ROUND_MILLIS: u64 = 240;
/// Time that a target takes for a request.
const WORK_MILLIS: u64 = 300;
/// Time after which every host must keep a limit that was named.
const CONTACT_MILLIS: u64 = 3_000;
/// Time in which the requests at a target are counted.
const WINDOW_MILLIS: u64 = 4_000;
const ZONES: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];

/// What happens to some hosts from a time to another, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Event {
    from: u64,
    to: u64,
    kind: Kind,
    /// Every n-th host is affected.
    every: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// The hosts run only in this time.
    Joined,
    /// The hosts do not run in this time.
    Stopped,
    /// The hosts stand still, and go on with what they knew.
    Suspended,
    /// The hosts and the others do not hear each other.
    CutOff,
}

struct Host {
    name: name::Host,
    zone: name::Zone,
    limits: traffic::TargetLimits,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: u64,
    target: usize,
    is_bound: bool,
}

/// A fleet with one limited target in each region, for which every host always has requests.
struct Fleet {
    hosts: Vec<Host>,
    targets: Vec<traffic::Target>,
    limit: f64,
    events: Vec<Event>,
    /// When each request reached which target, and whether its host was bound by the limit.
    sent: Vec<Sent>,
    /// When each host first got an answer of each target that named the limit.
    told: collections::HashMap<(usize, usize), u64>,
    running: collections::VecDeque<(u64, usize, usize)>,
}

impl Fleet {
    fn new(count: usize, limit: f64, events: &[Event]) -> Self {
        let targets = ["a1", "b2", "c1"].map(|zone| common::target(&format!("t-{zone}"), zone, 5));
        let hosts = (0..count).map(|n| {
            let name = name::Host::new(&format!("h{n}")).expect("host");
            let mut limits = traffic::TargetLimits::new(name.clone());
            limits.set_targets(&targets);
            let zone = common::zone(ZONES[n % ZONES.len()]);
            Host { name, zone, limits }
        });
        Self {
            hosts: hosts.collect(),
            targets: targets.to_vec(),
            limit,
            events: events.to_vec(),
            sent: Vec::new(),
            told: collections::HashMap::new(),
            running: collections::VecDeque::new(),
        }
    }

    fn is_in(&self, host: usize, kind: Kind, now: u64) -> bool {
        let is_affected = |event: &&Event| event.kind == kind && host.is_multiple_of(event.every);
        let mut events = self.events.iter().filter(is_affected);
        events.any(|event| (event.from..event.to).contains(&now))
    }

    fn is_running(&self, host: usize, now: u64) -> bool {
        let joins = self
            .events
            .iter()
            .any(|e| e.kind == Kind::Joined && host.is_multiple_of(e.every));
        let is_absent = joins && !self.is_in(host, Kind::Joined, now);
        !is_absent && !self.is_in(host, Kind::Stopped, now)
    }

    /// Returns whether a host acts, which a suspended one does not.
    fn acts(&self, host: usize, now: u64) -> bool {
        self.is_running(host, now) && !self.is_in(host, Kind::Suspended, now)
    }

    fn hears(&self, own: usize, other: usize, now: u64) -> bool {
        let is_cut = |host| self.is_in(host, Kind::CutOff, now);
        own == other || self.acts(other, now) && is_cut(own) == is_cut(other)
    }

    /// Returns whether a host takes another one for live; news arrive late, and not everywhere at
    /// the same time.
    fn counts(&self, own: usize, other: usize, now: u64) -> bool {
        let lag = 100 * ((own * 7 + other) as u64 % 10);
        let was_heard = |ago: u64| self.hears(own, other, now.saturating_sub(ago));
        // A silent host counts for a while.
        [lag, lag + 600, lag + 1_200].into_iter().any(was_heard)
    }

    fn run(&mut self, until: u64) {
        for now in (0..until).step_by(usize::try_from(STEP_MILLIS).expect("step")) {
            self.start_processes(now);
            if now % ROUND_MILLIS == 0 {
                self.tell(now);
                self.divide(now);
            }
            while self.running.front().is_some_and(|(at, ..)| *at <= now) {
                let (_at, host, target) = self.running.pop_front().expect("a request");
                let id = self.targets[target].id.clone();
                let limit = Some(self.limit);
                self.hosts[host].limits.observe(&id, limit, common::at(now));
                self.told.entry((host, target)).or_insert(now);
            }
            for host in (0..self.hosts.len())
                .filter(|n| self.acts(*n, now))
                .collect::<Vec<_>>()
            {
                for target in 0..self.targets.len() {
                    self.send(host, target, now);
                }
            }
        }
    }

    /// Starts the processes of hosts that join or come back; a relay tells them all limits.
    fn start_processes(&mut self, now: u64) {
        for host in 0..self.hosts.len() {
            let was_running = now >= STEP_MILLIS && self.is_running(host, now - STEP_MILLIS);
            if was_running || !self.is_running(host, now) || now == 0 {
                continue;
            }
            let mut limits = traffic::TargetLimits::new(self.hosts[host].name.clone());
            limits.set_targets(&self.targets);
            let same_zone = (0..ZONES.len()).filter(|n| n % ZONES.len() == host % ZONES.len());
            for relay in same_zone.filter(|n| *n != host && self.acts(*n, now)) {
                if let Some(report) = self.hosts[relay].limits.full_report(common::at(now)) {
                    limits.apply(&report, common::at(now));
                }
            }
            self.hosts[host].limits = limits;
            self.told.retain(|(told, _target), _at| *told != host);
            self.running
                .retain(|(_at, sender, _target)| *sender != host);
        }
    }

    fn send(&mut self, host: usize, target: usize, now: u64) {
        let id = &self.targets[target].id;
        let limits = &mut self.hosts[host].limits;
        // Before the limit is known, some hosts find it out.
        let is_eager = limits.rate(id, common::at(now)).is_some() || host.is_multiple_of(5);
        if is_eager && limits.has_room(id, common::at(now)) {
            limits.record_send(id, common::at(now));
            let told = self.told.get(&(host, target));
            self.sent.push(Sent {
                at: now,
                target,
                is_bound: told.is_some_and(|at| at + 500 <= now),
            });
            self.running.push_back((now + WORK_MILLIS, host, target));
        }
    }

    /// Passes on what hosts know: to the hosts of their zone, and by the first one to other zones.
    fn tell(&mut self, now: u64) {
        for from in (0..self.hosts.len())
            .filter(|n| self.acts(*n, now))
            .collect::<Vec<_>>()
        {
            let is_relay = from < ZONES.len();
            for audience in [
                traffic::Audience::Peers,
                traffic::Audience::NearRelays,
                traffic::Audience::Zone,
            ] {
                if audience != traffic::Audience::Peers && !is_relay {
                    continue;
                }
                let report = self.hosts[from].limits.report(audience, common::at(now));
                let Some(report) = report else { continue };
                for to in 0..self.hosts.len() {
                    let is_same_zone = self.hosts[from].zone == self.hosts[to].zone;
                    let is_meant = match audience {
                        traffic::Audience::NearRelays | traffic::Audience::FarRelays => {
                            to < ZONES.len() && !is_same_zone
                        }
                        traffic::Audience::Peers | traffic::Audience::Zone => is_same_zone,
                    };
                    if is_meant && from != to && self.hears(to, from, now) && self.acts(to, now) {
                        self.hosts[to].limits.apply(&report, common::at(now));
                    }
                }
            }
        }
    }

    fn divide(&mut self, now: u64) {
        let topology = common::topology();
        let names: Vec<(name::Host, name::Zone)> = self
            .hosts
            .iter()
            .map(|host| (host.name.clone(), host.zone.clone()))
            .collect();
        for own in (0..self.hosts.len())
            .filter(|n| self.acts(*n, now))
            .collect::<Vec<_>>()
        {
            let ready: Vec<(&name::Host, &name::Zone)> = names
                .iter()
                .enumerate()
                .filter(|(other, _names)| self.counts(own, *other, now))
                .map(|(_other, (host, zone))| (host, zone))
                .collect();
            let hosts = traffic::LimitHosts {
                topology: &topology,
                is_isolated: ready.len() * 2 < names.len(),
                live: &ready,
            };
            self.hosts[own].limits.update_shares(hosts, common::at(now));
        }
    }

    /// Returns the most requests at a target in any window, once every host must know the limit.
    fn most_in_window(&self) -> usize {
        let mut most = 0;
        for target in 0..self.targets.len() {
            let bound = self
                .sent
                .iter()
                .filter(|sent| sent.target == target && sent.is_bound);
            let times: Vec<u64> = bound.map(|sent| sent.at).collect();
            let first = WORK_MILLIS + CONTACT_MILLIS;
            for start in times.iter().copied().filter(|at| *at >= first) {
                let window = start..start + WINDOW_MILLIS;
                most = most.max(times.iter().filter(|at| window.contains(*at)).count());
            }
        }
        most
    }

    fn assert_within_limit(&self) {
        let most = u32::try_from(self.most_in_window()).expect("count");
        let (hosts, limit, events) = (self.hosts.len(), self.limit, &self.events);
        let borne = 1.5 * 4.0 * limit + 5.0;
        assert!(
            f64::from(most) <= borne,
            "{hosts} hosts, {limit} a second, {events:?}: {most} requests in 4 s, {borne} allowed"
        );
    }
}

/// Load pattern: targets name limits, and every host has more requests for them.
#[test]
fn all_hosts_together_keep_the_limit_of_a_target_and_use_it() {
    for (hosts, limits) in [
        (1, &[0.0, 5.1, 30.0][..]),
        (11, &[0.0, 0.5, 5.1, 12.9, 60.0]),
        (40, &[0.5]),
        (82, &[12.9]),
        (295, &[5.1]),
    ] {
        for limit in limits.iter().copied() {
            let mut fleet = Fleet::new(hosts, limit, &[]);
            // Each host's turns come seldom at a low limit.
            let end = if limit < 1.0 { 128_000 } else { 24_000 };
            fleet.run(end);
            fleet.assert_within_limit();
            let late = fleet.sent.iter().filter(|sent| sent.at >= 8_000);
            let sent = f64::from(u32::try_from(late.count()).expect("count"));
            let seconds = time::Duration::from_millis(end - 8_000).as_secs_f64();
            let allowed = limit * seconds * 3.0;
            assert!(
                sent >= allowed * 0.9,
                "{hosts} hosts, {limit} a second: {sent} of {allowed} requests sent"
            );
        }
    }
}

/// Load pattern: hosts join, stop, are suspended or cut off while targets are limited.
#[test]
fn hosts_that_come_and_go_do_not_exceed_the_limit_of_a_target() {
    let event = |kind, from, to, every| Event {
        from,
        to,
        kind,
        every,
    };
    let series = [
        vec![event(Kind::Joined, 8_000, 30_000, 4)],
        vec![event(Kind::Stopped, 8_000, 11_000, 4)],
        vec![
            event(Kind::Stopped, 7_000, 9_000, 5),
            event(Kind::Stopped, 9_500, 12_000, 7),
        ],
        vec![event(Kind::Suspended, 7_000, 13_000, 4)],
        vec![
            event(Kind::Joined, 10_000, 30_000, 3),
            event(Kind::Stopped, 10_200, 14_000, 7),
        ],
    ];
    for (hosts, limits) in [(11, &[0.5, 5.1, 12.9][..]), (60, &[5.1])] {
        for limit in limits.iter().copied() {
            for events in &series {
                let mut fleet = Fleet::new(hosts, limit, events);
                fleet.run(18_000);
                fleet.assert_within_limit();
            }
        }
    }
}

/// Load pattern: hosts that hear only few others, which may go on sending.
#[test]
fn hosts_that_are_cut_off_take_no_more_of_a_limit_than_before() {
    let event = Event {
        from: 8_000,
        to: 14_000,
        kind: Kind::CutOff,
        every: 3,
    };
    for hosts in [11, 60] {
        let mut fleet = Fleet::new(hosts, 5.1, &[event]);
        fleet.run(18_000);
        let sent = fleet.sent.iter();
        let sent = sent.filter(|sent| (8_000..14_000).contains(&sent.at));
        let sent = f64::from(u32::try_from(sent.count()).expect("count"));
        // The others replace the hosts that they do not hear; these keep their shares.
        let most = 5.1 * 6.0 * 3.0 * 2.0;
        assert!(
            sent <= most,
            "{hosts} hosts: {sent} requests, at most {most}"
        );
    }
}

fn limits(targets: &[traffic::Target]) -> traffic::TargetLimits {
    let mut limits = traffic::TargetLimits::new(name::Host::new("h1").expect("host"));
    limits.set_targets(targets);
    limits
}

fn notice_of(limits: &mut traffic::TargetLimits, now: u64) -> traffic::LimitReport {
    let report = limits.report(traffic::Audience::Peers, common::at(now));
    report.expect("a change to tell")
}

/// Load pattern: what hosts tell of a target overtakes its own answers, or the other way round.
#[test]
fn of_two_statements_of_a_target_the_later_one_counts() {
    let target = common::target("t1", "a1", 5);
    let id = &target.id;
    let mut own = limits(std::slice::from_ref(&target));
    let mut other = limits(std::slice::from_ref(&target));
    other.observe(id, Some(5.0), common::at(1_000));
    let early = notice_of(&mut other, 1_000);
    other.observe(id, None, common::at(1_500));
    let late = notice_of(&mut other, 1_500);
    assert!(own.apply(&early, common::at(1_100)));
    assert_eq!(own.rate(id, common::at(1_200)), Some(5.0));
    own.observe(id, Some(7.0), common::at(1_300));
    // The notice says what the target said 200 ms later.
    assert!(own.apply(&late, common::at(1_500)));
    assert_eq!(own.rate(id, common::at(1_600)), None);
    // An older statement that arrives late changes nothing.
    let mut stale = early.clone();
    stale.notices[0].age = 1_000;
    assert!(!own.apply(&stale, common::at(2_000)));
    assert_eq!(own.rate(id, common::at(2_000)), None);
}

/// Load pattern: a target with a limit restarts under its name.
#[test]
fn a_restarted_target_has_no_limit_until_it_names_one() {
    let mut target = common::target("t1", "a1", 5);
    let mut own = limits(std::slice::from_ref(&target));
    own.observe(&target.id, Some(5.0), common::at(1_000));
    let before = notice_of(&mut own, 1_000);
    target.started_millis = Some(2);
    own.set_targets(std::slice::from_ref(&target));
    assert_eq!(own.rate(&target.id, common::at(1_100)), None);
    // What others still tell is of the run before.
    assert!(!own.apply(&before, common::at(1_200)));
    assert!(own.has_room(&target.id, common::at(1_300)));
}

/// Load pattern: no host has requests for a limited target any more.
#[test]
fn a_limit_that_nobody_hears_of_ends_at_different_times() {
    let target = common::target("t1", "a1", 5);
    let mut ends = collections::BTreeSet::new();
    for n in 0..20 {
        let mut own = traffic::TargetLimits::new(name::Host::new(&format!("h{n}")).expect("host"));
        own.set_targets(std::slice::from_ref(&target));
        own.observe(&target.id, Some(0.0), common::at(0));
        let is_limited = |second: &u64| own.rate(&target.id, common::at(second * 1_000)).is_some();
        let end = (0..200).find(|second| !is_limited(second)).expect("an end");
        assert!(end >= time::Duration::from_mins(1).as_secs());
        ends.insert(end);
    }
    assert!(ends.len() >= 10, "{ends:?}");
}

/// Load pattern: damaged messages of other hosts.
#[test]
fn notices_with_impossible_limits_or_unknown_targets_are_ignored() {
    let target = common::target("t1", "a1", 5);
    let mut own = limits(std::slice::from_ref(&target));
    own.observe(&target.id, Some(5.0), common::at(1_000));
    let mut report = notice_of(&mut own, 1_000);
    for rate in [f32::NAN, f32::INFINITY, -1.0] {
        report.notices[0].rate = Some(rate);
        assert!(!own.apply(&report, common::at(1_100)));
    }
    report.notices[0].rate = None;
    report.notices[0].target ^= 1;
    assert!(!own.apply(&report, common::at(1_200)));
    assert_eq!(own.rate(&target.id, common::at(1_300)), Some(5.0));
}

/// Load pattern: most targets of a service name limits, and others have room.
#[test]
fn requests_for_limited_targets_go_to_others_with_room() {
    let targets: Vec<traffic::Target> = (0..6)
        .map(|n| common::target(&format!("t{n}"), "a1", 5))
        .collect();
    let mut dispatcher = common::dispatcher("h1", "a1", &targets);
    for target in &targets[..4] {
        dispatcher
            .limits_mut()
            .observe(&target.id, Some(0.0), common::at(0));
    }
    for n in 0..8 {
        let now = common::at(10 + n);
        let request = common::request("stock", 2, &format!("o{n}"), now);
        let placement = dispatcher.place(&request, now);
        let pick = common::sent_to(&placement).expect("a target with room");
        assert!(targets[4..].iter().any(|target| target.id == pick.target));
    }
}

/// Load pattern: a target says that it leaves, and the table of targets still lists it as ready.
#[test]
fn a_target_that_says_that_it_leaves_gets_no_further_request() {
    let mut targets: Vec<traffic::Target> = (0..3)
        .map(|n| common::target(&format!("t{n}"), "a1", 5))
        .collect();
    let mut dispatcher = common::dispatcher("h1", "a1", &targets);
    let leaving = targets[0].id.clone();
    assert!(dispatcher.limits_mut().record_leaving(&leaving));
    assert!(!dispatcher.limits_mut().record_leaving(&leaving), "known");
    targets[0].sequence += 1;
    dispatcher.set_targets(&targets, common::at(10));
    for n in 0..20 {
        let now = common::at(20 + 100 * n);
        let request = common::request("stock", 2, &format!("o{n}"), now);
        let placement = dispatcher.place(&request, now);
        let pick = common::sent_to(&placement).expect("another target").clone();
        assert_ne!(pick.target, leaving);
        let answered = traffic::AttemptResult::Answered(None);
        dispatcher.record_result(&request, &pick, answered, now);
    }
    // Another run of the target does not leave.
    targets[0].started_millis = Some(2);
    dispatcher.set_targets(&targets, common::at(3_000));
    assert!(dispatcher.limits().has_room(&leaving, common::at(3_000)));
}

/// Load pattern: all targets of a service refuse and want nothing for some time.
#[test]
fn requests_are_refused_at_once_while_every_target_wants_nothing() {
    let pause = time::Duration::from_secs(2);
    let targets = [common::target("t0", "a1", 5), common::target("t1", "b1", 5)];
    let mut dispatcher = common::dispatcher("h1", "a1", &targets);
    for target in &targets {
        let limits = dispatcher.limits_mut();
        limits.record_pause(&target.id, pause, common::at(1_000));
        // A shorter pause does not end a longer one.
        limits.record_pause(&target.id, pause / 4, common::at(1_100));
    }
    let now = common::at(1_500);
    let placement = dispatcher.place(&common::request("stock", 2, "o", now), now);
    let traffic::Placement::Refuse(refusal) = placement else {
        panic!("{placement:?}");
    };
    let left = time::Duration::from_millis(1_500);
    assert!(refusal.pause >= left && refusal.pause < left + common::OBJECTIVE * 2);
    let later = common::at(3_000);
    let placement = dispatcher.place(&common::request("stock", 2, "o", later), later);
    assert!(common::sent_to(&placement).is_some());
}

/// Guards against requests to a target before the end of a pause that lasts more than a minute.
#[test]
fn a_pause_lasts_as_long_as_the_target_says() {
    let target = common::target("t1", "a1", 5);
    let mut own = limits(std::slice::from_ref(&target));
    for seconds in [1, 59, 61, 80, 3_600] {
        let pause = time::Duration::from_secs(seconds);
        own.record_pause(&target.id, pause, common::at(0));
        let end = seconds * 1_000;
        assert!(!own.has_room(&target.id, common::at(end - 1)), "{seconds}");
        assert!(own.has_room(&target.id, common::at(end)), "{seconds}");
    }
}

#[test]
fn a_pause_without_end_ends_after_a_day_or_with_the_run_of_the_target() {
    const DAY_MILLIS: u64 = 24 * 60 * 60 * 1_000;
    let mut target = common::target("t1", "a1", 5);
    let mut own = limits(std::slice::from_ref(&target));
    own.record_pause(&target.id, time::Duration::MAX, common::at(0));
    assert!(!own.has_room(&target.id, common::at(DAY_MILLIS - 1)));
    assert!(own.has_room(&target.id, common::at(DAY_MILLIS)));
    target.started_millis = Some(2);
    own.set_targets(std::slice::from_ref(&target));
    assert!(own.has_room(&target.id, common::at(1_000)));
}

/// Guards against hosts that leave and still count themselves beside those that have divided their
/// shares.
///
/// Load pattern: two of the three hosts of a region leave while all have requests for a target.
#[test]
fn hosts_that_leave_together_do_not_exceed_the_limit_of_a_target() {
    const LIMIT: f64 = 10.0;
    let target = common::target("t0", "a1", 40);
    let names = ["h0", "h1", "h2"];
    let mut dispatchers = names.map(|name| {
        let mut dispatcher = common::dispatcher(name, "a1", std::slice::from_ref(&target));
        let limits = dispatcher.limits_mut();
        assert!(limits.observe(&target.id, Some(LIMIT), common::at(0)));
        dispatcher
    });
    let mut sent_at = Vec::new();
    for millis in (0..16_000).step_by(10) {
        let now = common::at(millis);
        if millis % 250 == 0 {
            let reports: Vec<traffic::Report> = names
                .into_iter()
                .zip(&mut dispatchers)
                .enumerate()
                .map(|(n, (name, dispatcher))| {
                    let mut member = common::report(name, "a1", 1).member;
                    if n > 0 && millis >= 8_000 {
                        member.phase = traffic::Phase::Leaving;
                    }
                    dispatcher.report(member, now)
                })
                .collect();
            for (n, dispatcher) in dispatchers.iter_mut().enumerate() {
                for (_from, report) in reports.iter().enumerate().filter(|(from, _r)| *from != n) {
                    dispatcher.apply_report(report.clone(), now);
                }
                dispatcher.refresh(now);
            }
        }
        for dispatcher in &mut dispatchers {
            let request = common::request("stock", 2, "o", now);
            if let Some(pick) = common::sent_to(&dispatcher.place(&request, now)).cloned() {
                let answered = traffic::AttemptResult::Answered(None);
                dispatcher.record_result(&request, &pick, answered, now);
                sent_at.push(millis);
            }
        }
    }
    let after = |start: u64| {
        let window = start..start + WINDOW_MILLIS;
        sent_at.iter().filter(|at| window.contains(*at)).count()
    };
    let allowed = 1.5 * LIMIT * 4.0 + 5.0;
    let most = (3_000..12_000)
        .step_by(10)
        .map(after)
        .max()
        .expect("windows");
    let most = f64::from(u32::try_from(most).expect("small"));
    assert!(most <= allowed, "{most} of {allowed}");
    let steady = f64::from(u32::try_from(after(4_000)).expect("small"));
    assert!(steady >= LIMIT * 4.0 * 0.9, "{steady}");
}
