//! A run of one scenario under one policy.

use std::cmp;
use std::collections;

use skylark_core::name;
use skylark_core::steer;

use super::deployment;
use super::host;
use super::policy;
use super::report;
use super::scenario;
use super::server;
use super::trace;

const FAULT_AT: u64 = trace::SPAN / 3;
const LOOK_PERIOD: u64 = 10_000;
const HIGHEST_LATENCY: u64 = 60_000_000;
const SLOW_FACTOR: u64 = 10;

/// Something that happens at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Reach {
        request: usize,
        target: u32,
    },
    Finish {
        request: usize,
        target: u32,
    },
    Answer {
        request: usize,
        target: u32,
        reply: Reply,
    },
    Look(usize),
    Fault,
}

/// What comes back from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Whole { load: u32, is_leaving: bool },
    Shed { load: u32, is_leaving: bool },
    Gone,
}

/// One run.
#[derive(Debug)]
pub struct Emulator {
    deployment: deployment::Deployment,
    scenario: scenario::Scenario,
    policy: policy::Policy,
    hosts: Vec<host::Host>,
    servers: Vec<server::Server>,
    requests: Vec<host::Request>,
    sent: Vec<u64>,
    is_over: Vec<bool>,
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64, Event)>>,
    sequence: u64,
    sends: u64,
    refused: u64,
    late: u64,
    counts: [report::Count; trace::ACCOUNTS],
    latency: hdrhistogram::Histogram<u64>,
}

impl Emulator {
    /// Creates a run.
    pub fn new(
        deployment: deployment::Deployment,
        scenario: scenario::Scenario,
        policy: policy::Policy,
        seed: u64,
    ) -> Self {
        let catalog = deployment.catalog();
        let hosts = (0..deployment.hosts())
            .map(|number| host::Host::new(deployment, policy, &catalog, number, seed))
            .collect();
        let server = |number| {
            let zone = deployment::Deployment::zone(number);
            server::Server::new(zone, deployment.slots())
        };
        let arrivals = trace::arrivals(deployment, scenario, seed);
        let request = |(number, arrival): (usize, &trace::Arrival)| host::Request {
            arrival: *arrival,
            seed: seed_of(number),
            tried: Vec::new(),
        };
        let mut emulator = Self {
            deployment,
            scenario,
            policy,
            hosts,
            servers: (0..deployment.targets()).map(server).collect(),
            requests: arrivals.iter().enumerate().map(request).collect(),
            sent: vec![0; arrivals.len()],
            is_over: vec![false; arrivals.len()],
            events: collections::BinaryHeap::new(),
            sequence: 0,
            sends: 0,
            refused: 0,
            late: 0,
            counts: [report::Count::default(); trace::ACCOUNTS],
            latency: histogram(),
        };
        emulator.prepare();
        emulator
    }

    /// Runs to the end of the trace and of what it started.
    pub fn run(mut self) -> report::Report {
        while let Some(cmp::Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrive(request) => self.arrive(request, now),
                Event::Reach { request, target } => self.reach(request, target, now),
                Event::Finish { request, target } => self.finish(request, target, now),
                Event::Answer {
                    request,
                    target,
                    reply,
                } => {
                    self.answer(request, target, reply, now);
                }
                Event::Look(host) => {
                    self.dispatch(host, now);
                    if now < trace::SPAN + trace::DEADLINE {
                        self.after(now + LOOK_PERIOD, Event::Look(host));
                    }
                }
                Event::Fault => self.fault(),
            }
        }
        self.report()
    }

    fn prepare(&mut self) {
        for request in 0..self.requests.len() {
            let at = self.requests[request].arrival.at;
            self.after(at, Event::Arrive(request));
        }
        for host in 0..self.hosts.len() {
            self.after(0, Event::Look(host));
        }
        self.after(FAULT_AT, Event::Fault);
        match self.scenario {
            scenario::Scenario::Misleading => {
                for region in 0..deployment::REGIONS {
                    self.servers[region * 2].is_misleading = true;
                    self.servers[region * 2].factor = 2;
                }
            }
            scenario::Scenario::SlowTarget => self.servers[0].factor = SLOW_FACTOR,
            _ => {}
        }
    }

    fn fault(&mut self) {
        let scenario = self.scenario;
        for (number, server) in self.servers.iter_mut().enumerate() {
            let region = server.zone / 2;
            match scenario {
                scenario::Scenario::RegionLoss if region == 0 => server.is_dead = true,
                scenario::Scenario::ColdCache if region == 1 => server.chill(),
                scenario::Scenario::Drain if number == 0 => server.is_leaving = true,
                _ => {}
            }
        }
    }

    fn arrive(&mut self, request: usize, now: u64) {
        let is_lost = self.scenario == scenario::Scenario::RegionLoss && now >= FAULT_AT;
        let home = self.requests[request].arrival.host;
        if is_lost && self.hosts[home].zone / 2 == 0 {
            let left = (0..self.hosts.len()).filter(|host| self.hosts[*host].zone / 2 != 0);
            let left: Vec<usize> = left.collect();
            self.requests[request].arrival.host = left[request % left.len()];
        }
        let arrival = self.requests[request].arrival;
        self.counts[arrival.account].arrived += 1;
        self.decide(request, now);
    }

    fn decide(&mut self, request: usize, now: u64) {
        let host = self.requests[request].arrival.host;
        match self.hosts[host].decide(request, &self.requests[request], now) {
            host::Step::Send(target) => self.send(request, target, now),
            host::Step::Wait(displaced) => {
                if let Some(other) = displaced {
                    self.refuse(other);
                }
            }
            host::Step::Refuse => self.refuse(request),
        }
    }

    fn dispatch(&mut self, host: usize, now: u64) {
        while let Some((request, is_in_time)) = self.hosts[host].next(now) {
            if !is_in_time {
                self.refuse(request);
                continue;
            }
            match self.hosts[host].choose(&self.requests[request], now) {
                steer::Choice::Target(target) => self.send(request, target, now),
                steer::Choice::NoFreeSlot => {
                    self.decide(request, now);
                    break;
                }
                steer::Choice::DeadlineUnmet | steer::Choice::NoTarget => self.refuse(request),
            }
        }
    }

    fn send(&mut self, request: usize, target: u32, now: u64) {
        self.sends += 1;
        self.sent[request] = now;
        self.requests[request].tried.push(target);
        let delay = self.delay(request, target);
        self.after(now + delay, Event::Reach { request, target });
    }

    fn reach(&mut self, request: usize, target: u32, now: u64) {
        let server = &mut self.servers[target as usize];
        if server.is_dead {
            self.reply(request, target, Reply::Gone, now);
            return;
        }
        match server.take(request) {
            server::Taken::Started => self.start(request, target, now),
            server::Taken::Waits => {}
            server::Taken::Shed => {
                let load = server.report(now);
                let is_leaving = server.is_leaving;
                self.reply(request, target, Reply::Shed { load, is_leaving }, now);
            }
        }
    }

    fn start(&mut self, request: usize, target: u32, now: u64) {
        let work = self.requests[request].arrival.work;
        let time = self.servers[target as usize].time(work, now);
        self.after(now + time, Event::Finish { request, target });
    }

    fn finish(&mut self, request: usize, target: u32, now: u64) {
        let server = &mut self.servers[target as usize];
        let next = server.finish();
        let reply = if server.is_dead {
            Reply::Gone
        } else {
            Reply::Whole {
                load: server.report(now),
                is_leaving: server.is_leaving,
            }
        };
        self.reply(request, target, reply, now);
        if let Some(next) = next {
            self.start(next, target, now);
        }
    }

    fn reply(&mut self, request: usize, target: u32, reply: Reply, now: u64) {
        let delay = self.delay(request, target);
        let answer = Event::Answer {
            request,
            target,
            reply,
        };
        self.after(now + delay, answer);
    }

    fn answer(&mut self, request: usize, target: u32, reply: Reply, now: u64) {
        let host = self.requests[request].arrival.host;
        let spent = now - self.sent[request];
        let (end, word) = match reply {
            Reply::Whole { load, is_leaving } => {
                (steer::Completion::Answered(spent), word(load, is_leaving))
            }
            Reply::Shed { load, is_leaving } => (steer::Completion::Shed, word(load, is_leaving)),
            Reply::Gone => (steer::Completion::Failed, steer::LoadReport::default()),
        };
        self.hosts[host].end(target, end, word, now);
        match reply {
            Reply::Whole { .. } => self.complete(request, now),
            Reply::Shed { .. } | Reply::Gone => {
                let is_late = now >= self.requests[request].arrival.at + trace::DEADLINE;
                if is_late {
                    self.late += 1;
                    self.is_over[request] = true;
                } else {
                    self.decide(request, now);
                }
            }
        }
        self.dispatch(host, now);
    }

    fn complete(&mut self, request: usize, now: u64) {
        self.is_over[request] = true;
        let arrival = self.requests[request].arrival;
        let spent = now - arrival.at;
        if spent > trace::DEADLINE {
            self.late += 1;
            return;
        }
        self.counts[arrival.account].good += 1;
        self.latency.saturating_record(spent.max(1));
    }

    fn refuse(&mut self, request: usize) {
        self.refused += 1;
        self.is_over[request] = true;
    }

    fn delay(&self, request: usize, target: u32) -> u64 {
        let host = self.requests[request].arrival.host;
        let to = self.servers[target as usize].zone;
        self.deployment.delay(self.hosts[host].zone, to)
    }

    fn after(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(cmp::Reverse((at, self.sequence, event)));
    }

    fn report(self) -> report::Report {
        let good = self.counts.iter().map(|count| count.good).sum();
        let arrived = self.counts.iter().map(|count| count.arrived).sum::<u64>();
        let left = self.is_over.iter().filter(|is_over| !**is_over).count() as u64;
        let busiest = self.servers.iter().map(|server| server.busy).max();
        let slots = u64::from(self.deployment.slots());
        let used = busiest.unwrap_or(0) * 1_000 / (slots * trace::SPAN);
        let is_drain = self.scenario == scenario::Scenario::Drain;
        report::Report {
            deployment: self.deployment.as_str(),
            scenario: self.scenario.as_str(),
            policy: self.policy.as_str(),
            arrived,
            good,
            refused: self.refused + left,
            late: self.late,
            sends: self.sends * 1_000 / arrived.max(1),
            p50: self.latency.value_at_quantile(0.5),
            p99: self.latency.value_at_quantile(0.99),
            headroom: 1_000_u64.saturating_sub(used),
            worst: report::Report::worst_of(&self.counts),
            others: report::Report::worst_of(&self.counts[1..]),
            drain: is_drain.then(|| self.servers[0].started.saturating_sub(FAULT_AT)),
        }
    }
}

fn word(load: u32, is_leaving: bool) -> steer::LoadReport {
    steer::LoadReport {
        running: Some(load),
        is_leaving,
    }
}

fn seed_of(number: usize) -> steer::Seed {
    let id = name::Request::new(&format!("r{number}"));
    id.map_or_else(|_error| steer::Seed::new(0), |id| steer::Seed::of(&id))
}

fn histogram() -> hdrhistogram::Histogram<u64> {
    let made = hdrhistogram::Histogram::new_with_max(HIGHEST_LATENCY, 3);
    made.unwrap_or_else(|_error| unreachable!("the bounds are valid"))
}
