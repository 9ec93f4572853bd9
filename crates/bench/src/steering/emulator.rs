//! Discrete-event emulator of one scenario under one policy.

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

const FAULT_AT_MICROS: u64 = trace::TRACE_MICROS / 3;
/// Interval at which a host checks its queue without another event.
const DISPATCH_PERIOD_MICROS: u64 = 10_000;
const MAX_LATENCY_MICROS: u64 = 60_000_000;
const SLOW_TARGET_SLOWDOWN: u64 = 10;

/// A scheduled event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Deliver {
        request: usize,
        target: u32,
    },
    Finish {
        request: usize,
        target: u32,
    },
    Reply {
        request: usize,
        target: u32,
        reply: Reply,
    },
    Dispatch(usize),
    Fault,
}

/// The reply of a target as the entry host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Answered { load: u32, is_leaving: bool },
    Shed { load: u32, is_leaving: bool },
    Unreachable,
}

/// An emulated run; times are in microseconds.
#[derive(Debug)]
pub struct Emulator {
    deployment: deployment::Deployment,
    scenario: scenario::Scenario,
    policy: policy::Policy,
    hosts: Vec<host::Host>,
    servers: Vec<server::Server>,
    requests: Vec<host::Request>,
    sent: Vec<u64>,
    is_done: Vec<bool>,
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64, Event)>>,
    sequence: u64,
    sends: u64,
    refused: u64,
    late: u64,
    counts: [report::AccountCounts; trace::ACCOUNTS],
    latency: hdrhistogram::Histogram<u64>,
}

impl Emulator {
    /// Creates a run and schedules its arrivals and fault.
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
            is_done: vec![false; arrivals.len()],
            events: collections::BinaryHeap::new(),
            sequence: 0,
            sends: 0,
            refused: 0,
            late: 0,
            counts: [report::AccountCounts::default(); trace::ACCOUNTS],
            latency: latency_histogram(),
        };
        emulator.set_up();
        emulator
    }

    /// Processes events until none is left and returns the results.
    pub fn run(mut self) -> report::Report {
        while let Some(cmp::Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrive(request) => self.arrive(request, now),
                Event::Deliver { request, target } => self.deliver(request, target, now),
                Event::Finish { request, target } => self.finish(request, target, now),
                Event::Reply {
                    request,
                    target,
                    reply,
                } => {
                    self.receive_reply(request, target, reply, now);
                }
                Event::Dispatch(host) => {
                    self.dispatch(host, now);
                    if now < trace::TRACE_MICROS + trace::DEADLINE_MICROS {
                        self.schedule(now + DISPATCH_PERIOD_MICROS, Event::Dispatch(host));
                    }
                }
                Event::Fault => self.inject_fault(),
            }
        }
        self.report()
    }

    fn set_up(&mut self) {
        for request in 0..self.requests.len() {
            let at = self.requests[request].arrival.at;
            self.schedule(at, Event::Arrive(request));
        }
        for host in 0..self.hosts.len() {
            self.schedule(0, Event::Dispatch(host));
        }
        self.schedule(FAULT_AT_MICROS, Event::Fault);
        match self.scenario {
            scenario::Scenario::Misleading => {
                for region in 0..deployment::REGIONS {
                    self.servers[region * 2].is_misleading = true;
                    self.servers[region * 2].slowdown = 2;
                }
            }
            scenario::Scenario::SlowTarget => self.servers[0].slowdown = SLOW_TARGET_SLOWDOWN,
            _ => {}
        }
    }

    fn inject_fault(&mut self) {
        let scenario = self.scenario;
        for (number, server) in self.servers.iter_mut().enumerate() {
            let region = server.zone / 2;
            match scenario {
                scenario::Scenario::RegionLoss if region == 0 => server.is_unreachable = true,
                scenario::Scenario::ColdCache if region == 1 => server.clear_cache(),
                scenario::Scenario::Drain if number == 0 => server.is_leaving = true,
                _ => {}
            }
        }
    }

    fn arrive(&mut self, request: usize, now: u64) {
        let is_region_lost =
            self.scenario == scenario::Scenario::RegionLoss && now >= FAULT_AT_MICROS;
        let entry = self.requests[request].arrival.host;
        if is_region_lost && self.hosts[entry].zone / 2 == 0 {
            let survivors = (0..self.hosts.len()).filter(|host| self.hosts[*host].zone / 2 != 0);
            let survivors: Vec<usize> = survivors.collect();
            self.requests[request].arrival.host = survivors[request % survivors.len()];
        }
        let arrival = self.requests[request].arrival;
        self.counts[arrival.account].arrived += 1;
        self.decide(request, now);
    }

    fn decide(&mut self, request: usize, now: u64) {
        let host = self.requests[request].arrival.host;
        match self.hosts[host].decide(request, &self.requests[request], now) {
            host::Routing::Send(target) => self.send(request, target, now),
            host::Routing::Wait(displaced) => {
                if let Some(other) = displaced {
                    self.refuse(other);
                }
            }
            host::Routing::Refuse => self.refuse(request),
        }
    }

    fn dispatch(&mut self, host: usize, now: u64) {
        while let Some((request, can_meet_deadline)) = self.hosts[host].dequeue(now) {
            if !can_meet_deadline {
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
        self.schedule(now + delay, Event::Deliver { request, target });
    }

    fn deliver(&mut self, request: usize, target: u32, now: u64) {
        let server = &mut self.servers[target as usize];
        if server.is_unreachable {
            self.send_reply(request, target, Reply::Unreachable, now);
            return;
        }
        match server.accept(request) {
            server::Acceptance::Started => self.start(request, target, now),
            server::Acceptance::Queued => {}
            server::Acceptance::Shed => {
                let load = server.reported_load(now);
                let is_leaving = server.is_leaving;
                self.send_reply(request, target, Reply::Shed { load, is_leaving }, now);
            }
        }
    }

    fn start(&mut self, request: usize, target: u32, now: u64) {
        let service_time = self.requests[request].arrival.service_time;
        let time = self.servers[target as usize].start(service_time, now);
        self.schedule(now + time, Event::Finish { request, target });
    }

    fn finish(&mut self, request: usize, target: u32, now: u64) {
        let server = &mut self.servers[target as usize];
        let next = server.finish();
        let reply = if server.is_unreachable {
            Reply::Unreachable
        } else {
            Reply::Answered {
                load: server.reported_load(now),
                is_leaving: server.is_leaving,
            }
        };
        self.send_reply(request, target, reply, now);
        if let Some(next) = next {
            self.start(next, target, now);
        }
    }

    fn send_reply(&mut self, request: usize, target: u32, reply: Reply, now: u64) {
        let delay = self.delay(request, target);
        let event = Event::Reply {
            request,
            target,
            reply,
        };
        self.schedule(now + delay, event);
    }

    fn receive_reply(&mut self, request: usize, target: u32, reply: Reply, now: u64) {
        let host = self.requests[request].arrival.host;
        let elapsed = now - self.sent[request];
        let (completion, load_report) = match reply {
            Reply::Answered { load, is_leaving } => (
                steer::Completion::Answered(elapsed),
                load_report(load, is_leaving),
            ),
            Reply::Shed { load, is_leaving } => {
                (steer::Completion::Shed, load_report(load, is_leaving))
            }
            Reply::Unreachable => (steer::Completion::Failed, steer::LoadReport::default()),
        };
        self.hosts[host].finish(target, completion, load_report, now);
        match reply {
            Reply::Answered { .. } => self.complete(request, now),
            Reply::Shed { .. } | Reply::Unreachable => {
                let is_late = now >= self.requests[request].arrival.at + trace::DEADLINE_MICROS;
                if is_late {
                    self.late += 1;
                    self.is_done[request] = true;
                } else {
                    self.decide(request, now);
                }
            }
        }
        self.dispatch(host, now);
    }

    fn complete(&mut self, request: usize, now: u64) {
        self.is_done[request] = true;
        let arrival = self.requests[request].arrival;
        let elapsed = now - arrival.at;
        if elapsed > trace::DEADLINE_MICROS {
            self.late += 1;
            return;
        }
        self.counts[arrival.account].good += 1;
        self.latency.saturating_record(elapsed.max(1));
    }

    fn refuse(&mut self, request: usize) {
        self.refused += 1;
        self.is_done[request] = true;
    }

    fn delay(&self, request: usize, target: u32) -> u64 {
        let host = self.requests[request].arrival.host;
        let to = self.servers[target as usize].zone;
        self.deployment.delay(self.hosts[host].zone, to)
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(cmp::Reverse((at, self.sequence, event)));
    }

    fn report(self) -> report::Report {
        let good = self.counts.iter().map(|count| count.good).sum();
        let arrived = self.counts.iter().map(|count| count.arrived).sum::<u64>();
        let unfinished = self.is_done.iter().filter(|is_done| !**is_done).count() as u64;
        let busiest = self.servers.iter().map(|server| server.busy_micros).max();
        let slots = u64::from(self.deployment.slots());
        let used = busiest.unwrap_or(0) * 1_000 / (slots * trace::TRACE_MICROS);
        let is_drain = self.scenario == scenario::Scenario::Drain;
        report::Report {
            deployment: self.deployment.as_str(),
            scenario: self.scenario.as_str(),
            policy: self.policy.as_str(),
            arrived,
            good,
            refused: self.refused + unfinished,
            late: self.late,
            sends: self.sends * 1_000 / arrived.max(1),
            p50: self.latency.value_at_quantile(0.5),
            p99: self.latency.value_at_quantile(0.99),
            headroom: 1_000_u64.saturating_sub(used),
            worst: report::Report::lowest_success(&self.counts),
            others: report::Report::lowest_success(&self.counts[1..]),
            drain: is_drain.then(|| self.servers[0].last_start.saturating_sub(FAULT_AT_MICROS)),
        }
    }
}

fn load_report(load: u32, is_leaving: bool) -> steer::LoadReport {
    steer::LoadReport {
        running: Some(load),
        is_leaving,
    }
}

fn seed_of(number: usize) -> steer::Seed {
    let id = name::Request::new(&format!("r{number}"));
    id.map_or_else(|_error| steer::Seed::new(0), |id| steer::Seed::of(&id))
}

fn latency_histogram() -> hdrhistogram::Histogram<u64> {
    let histogram = hdrhistogram::Histogram::new_with_max(MAX_LATENCY_MICROS, 3);
    histogram.unwrap_or_else(|_error| unreachable!("the bounds are valid"))
}
