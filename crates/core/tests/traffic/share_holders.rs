//! Holders of small limits while hosts stop, start, fail and stand still, and messages are late.

use std::collections;
use std::net;
use std::sync;

use rand::RngExt as _;
use rand::SeedableRng as _;
use skylark_core::name;
use skylark_core::traffic;

use super::common;

const HOSTS: usize = 8;
/// The account's limit in requests per second, and its burst.
const RATE: u64 = 24;
/// The part of it for the region, where all demand is: three quarters, and a third of the rest.
const REGION_RATE: u64 = 20;
/// Requests per second of the account, at random hosts that take requests.
const DEMAND: f64 = 240.0;
const WINDOW_MILLIS: u64 = 5_000;
/// Requests that the deployments allow in a window for the region's part: a tenth more than rate and
/// burst, and 20.
const ALLOWED: usize = 152;
const ROUND_MILLIS: u64 = 250;
/// Time for which a host that stops still takes requests.
const DRAIN_MILLIS: u64 = 4_500;
/// Time from the end of a process to its next start, and from there until it takes requests.
const RESTART_MILLIS: u64 = 300;
const START_MILLIS: u64 = 700;
/// Hosts that a request for a token reaches while a share changes hands.
const MAX_ASKED: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    Starting(u64),
    Ready,
    Leaving(u64),
    Ended(u64),
    /// Neither sends nor reads anything; callers wait in vain.
    Suspended(u64),
}

enum Message {
    Report(Box<traffic::Report>),
    Role(traffic::RoleMessage),
}

/// Processes of one region with their messages.
struct Sim {
    dispatchers: Vec<common::Dispatcher>,
    statuses: [Status; HOSTS],
    incarnation: u64,
    rules: sync::Arc<traffic::Rules>,
    account: name::Account,
    /// Messages by their time of arrival and a number, with their recipients.
    under_way: collections::BTreeMap<(u64, u64), (usize, Message)>,
    sent: u64,
    /// Messages of a hundred that are lost, and the longest delay of the others.
    lost: u32,
    max_delay: u64,
    random: rand_chacha::ChaCha8Rng,
    admitted: Vec<u64>,
    /// Longest time between two admitted requests.
    longest_gap: u64,
    /// Since when several hosts hold the share, and the longest such time.
    several_since: Option<u64>,
    longest_overlap: u64,
}

fn address(host: usize) -> net::SocketAddr {
    let port = u16::try_from(8_000 + host).expect("few hosts");
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

impl Sim {
    fn new(seed: u64) -> Self {
        let account = name::Account::new("acme").expect("account");
        let rules = common::rules_with_account(&account, RATE);
        Self {
            dispatchers: (0..HOSTS).map(|n| dispatcher(n, &rules, 0)).collect(),
            statuses: [Status::Starting(500); HOSTS],
            incarnation: 1,
            rules,
            account,
            under_way: collections::BTreeMap::new(),
            sent: 0,
            lost: 0,
            max_delay: 10,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            admitted: Vec::new(),
            longest_gap: 0,
            several_since: None,
            longest_overlap: 0,
        }
    }

    fn is_running(&self, host: usize) -> bool {
        !matches!(self.statuses[host], Status::Ended(_) | Status::Suspended(_))
    }

    fn is_serving(&self, host: usize) -> bool {
        matches!(self.statuses[host], Status::Ready | Status::Leaving(_))
    }

    fn send(&mut self, to: usize, message: Message, now: u64) {
        self.sent += 1;
        if self.random.random_range(0..100) < self.lost {
            return;
        }
        let at = now + self.random.random_range(1..=self.max_delay);
        self.under_way.insert((at, self.sent), (to, message));
    }

    fn report(&mut self, host: usize, now: u64) {
        let mut member = common::report(&format!("h{host}"), "a1", self.incarnation).member;
        member.control_address = address(host);
        member.phase = match self.statuses[host] {
            Status::Starting(_) => traffic::Phase::Starting,
            Status::Leaving(_) => traffic::Phase::Leaving,
            Status::Ready | Status::Ended(_) | Status::Suspended(_) => traffic::Phase::Ready,
        };
        let report = self.dispatchers[host].report(member, common::at(now));
        for to in (0..HOSTS).filter(|to| *to != host) {
            self.send(to, Message::Report(Box::new(report.clone())), now);
        }
        self.dispatchers[host].refresh(common::at(now));
        self.send_role_messages(host, now);
    }

    fn send_role_messages(&mut self, host: usize, now: u64) {
        for (to, message) in self.dispatchers[host].quotas_mut().take_messages() {
            let to = (0..HOSTS).find(|n| address(*n) == to).expect("a host");
            self.send(to, Message::Role(message), now);
        }
    }

    fn receive(&mut self, to: usize, message: Message, now: u64) {
        if !self.is_running(to) {
            return;
        }
        match message {
            Message::Report(report) => {
                self.dispatchers[to].apply_report(*report, common::at(now));
            }
            Message::Role(message) => {
                let quotas = self.dispatchers[to].quotas_mut();
                quotas.receive(message, common::at(now));
                self.send_role_messages(to, now);
            }
        }
    }

    /// Returns whether a host admits a request of the account.
    fn admits(&mut self, host: usize, now: u64) -> bool {
        let at = common::at(now);
        let decision = self.dispatchers[host].quotas_mut().admit(&self.account, at);
        let mut holder = match decision {
            traffic::QuotaDecision::Admitted => return true,
            traffic::QuotaDecision::Limited(_delay) => return false,
            traffic::QuotaDecision::AskHolder(holder) => holder,
        };
        let digest = traffic::digest(self.account.as_str());
        for _asked in 0..MAX_ASKED {
            let asked = (0..HOSTS).find(|n| address(*n) == holder).expect("a host");
            if !self.is_running(asked) {
                return false;
            }
            let quotas = self.dispatchers[asked].quotas_mut();
            match quotas.grant_token(digest, at) {
                Ok(()) => return true,
                Err(traffic::TokenDenial::Moved(host)) => holder = host,
                Err(traffic::TokenDenial::Over(_delay)) => return false,
            }
        }
        false
    }

    /// Moves hosts to their next status where its time has come.
    fn step_statuses(&mut self, now: u64) {
        for host in 0..HOSTS {
            let next = match self.statuses[host] {
                Status::Starting(at) if now >= at => Status::Ready,
                Status::Leaving(at) if now >= at => Status::Ended(now + RESTART_MILLIS),
                Status::Suspended(at) if now >= at => Status::Ready,
                Status::Ended(at) if now >= at => {
                    self.incarnation += 1;
                    self.dispatchers[host] = dispatcher(host, &self.rules, now);
                    Status::Starting(now + START_MILLIS)
                }
                status => status,
            };
            let is_changed = next != self.statuses[host];
            self.statuses[host] = next;
            if is_changed && self.is_running(host) {
                self.report(host, now);
            }
        }
    }

    /// Stops a host as planned.
    fn stop(&mut self, host: usize, now: u64) {
        if self.statuses[host] == Status::Ready {
            self.statuses[host] = Status::Leaving(now + DRAIN_MILLIS);
            self.report(host, now);
        }
    }

    fn run(&mut self, from: u64, until: u64) {
        for now in from..until {
            self.step_statuses(now);
            while let Some(entry) = self.under_way.first_entry().filter(|e| e.key().0 <= now) {
                let (to, message) = entry.remove();
                self.receive(to, message, now);
            }
            for host in 0..HOSTS {
                let phase = u64::try_from(host).expect("few") * 31;
                if self.is_running(host) && (now + phase).is_multiple_of(ROUND_MILLIS) {
                    self.report(host, now);
                }
            }
            self.observe_holders(now);
            let host = self.random.random_range(0..HOSTS);
            let has_request = self.random.random_bool(DEMAND / 1_000.0);
            if has_request && self.is_serving(host) && self.admits(host, now) {
                let last = self.admitted.last().copied().unwrap_or(now);
                self.longest_gap = self.longest_gap.max(now - last);
                self.admitted.push(now);
            }
        }
    }

    fn observe_holders(&mut self, now: u64) {
        let holds = |n: &usize| self.is_running(*n) && self.dispatchers[*n].quotas().held() > 0;
        if (0..HOSTS).filter(holds).count() < 2 {
            self.several_since = None;
            return;
        }
        let since = *self.several_since.get_or_insert(now);
        self.longest_overlap = self.longest_overlap.max(now - since);
    }

    fn most_in_window(&self) -> usize {
        let ends = (0..self.admitted.len()).map(|n| {
            let end = self.admitted[n] + WINDOW_MILLIS;
            self.admitted[n..].partition_point(|at| *at < end)
        });
        ends.max().unwrap_or(0)
    }
}

fn dispatcher(host: usize, rules: &sync::Arc<traffic::Rules>, now: u64) -> common::Dispatcher {
    let mut dispatcher = common::dispatcher(&format!("h{host}"), "a1", &[]);
    assert!(dispatcher.set_rules(sync::Arc::clone(rules), common::at(now)));
    dispatcher
}

/// Returns the hosts in the order in which they hold the account's share while others leave.
fn holders_in_order() -> Vec<usize> {
    let key = traffic::HashKey::new("pool", b"acme");
    let mut hosts: Vec<usize> = (0..HOSTS).collect();
    let score = |host: &usize| key.score(&format!("h{host}"), 1.0);
    hosts.sort_by(|a, b| score(b).total_cmp(&score(a)));
    hosts
}

/// Guards against a host that still uses a small limit which another host has taken over, in a
/// planned stop.
#[test]
fn holders_that_stop_in_turn_do_not_multiply_a_limit() {
    for seed in 0..4 {
        let mut sim = Sim::new(seed);
        sim.run(1, 10_000);
        let steady = sim.admitted.len();
        for (n, host) in holders_in_order().into_iter().take(4).enumerate() {
            let now = 10_000 + 1_300 * u64::try_from(n).expect("few");
            sim.stop(host, now);
            sim.run(now, now + 1_300);
        }
        sim.run(15_200, 30_000);
        let most = sim.most_in_window();
        assert!(most <= ALLOWED, "seed {seed}: {most} of {ALLOWED}");
        let later = sim.admitted.len() - steady;
        let due = usize::try_from(REGION_RATE * 20 * 9 / 10).expect("small");
        assert!(later >= due, "seed {seed}: {later} of {due} admitted");
        assert!(
            sim.longest_gap < 600,
            "seed {seed}: none for {} ms",
            sim.longest_gap
        );
    }
}

/// Guards against a share that each of several hosts holds when all hosts of a region stop together.
#[test]
fn hosts_that_all_stop_together_do_not_multiply_a_limit() {
    for seed in 0..4 {
        let mut sim = Sim::new(seed);
        sim.run(1, 10_000);
        for host in 0..HOSTS {
            sim.stop(host, 10_000);
        }
        sim.run(10_000, 25_000);
        let most = sim.most_in_window();
        assert!(most <= ALLOWED, "seed {seed}: {most} of {ALLOWED}");
    }
}

/// Guards against two holders, or none, after stops, failures and pauses in any order with messages
/// that are late or lost.
#[test]
fn a_share_has_one_holder_whatever_hosts_do() {
    const EVENTS: usize = 24;
    for seed in 0..40 {
        let mut sim = Sim::new(seed);
        sim.lost = 3;
        sim.max_delay = 40;
        let mut now = 6_000;
        sim.run(1, now);
        sim.longest_overlap = 0;
        for _event in 0..EVENTS {
            let order = holders_in_order();
            // Mostly the hosts that hold the share, or come next.
            let rank = sim
                .random
                .random_range(0..4)
                .min(sim.random.random_range(0..HOSTS));
            let host = order[rank];
            match sim.random.random_range(0..4) {
                0 | 1 => sim.stop(host, now),
                2 if sim.is_running(host) => {
                    sim.statuses[host] = Status::Ended(now + RESTART_MILLIS);
                }
                3 if sim.statuses[host] == Status::Ready => {
                    let pause = sim.random.random_range(100..4_000);
                    sim.statuses[host] = Status::Suspended(now + pause);
                }
                _ => {}
            }
            let next = now + sim.random.random_range(50..2_000);
            sim.run(now, next);
            now = next;
        }
        sim.run(now, now + 10_000);
        let most = sim.most_in_window();
        assert!(most <= ALLOWED, "seed {seed}: {most} of {ALLOWED}");
        // Hosts that hold the share side by side hear each other in the next round.
        let overlap = sim.longest_overlap;
        assert!(
            overlap <= ROUND_MILLIS + sim.max_delay,
            "seed {seed}: two for {overlap} ms"
        );
        let tail = sim.admitted.iter().filter(|at| **at >= now + 5_000).count();
        let due = usize::try_from(REGION_RATE * 5 * 9 / 10).expect("small");
        assert!(
            tail >= due,
            "seed {seed}: {tail} of {due} admitted at the end"
        );
    }
}
