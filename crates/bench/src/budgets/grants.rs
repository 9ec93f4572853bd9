//! Discrete-event emulation of token grants from an elected owner to the limiters of hosts.

use std::collections;
use std::time;

use skylark_core::budget;
use skylark_core::instant;
use skylark_core::lease;
use skylark_core::name;
use skylark_core::record;

use super::baseline;
use super::deployment;
use super::fault;
use super::tally;
use super::trace;

const POLL_PERIOD_MICROS: u64 = 5_000;
/// Validity of the lease of the owner after a renewal.
const LEASE_DURATION: time::Duration = time::Duration::from_secs(3);
/// Two attempts to renew or take the lease are made in this time.
const RENEWAL_MICROS: u64 = 1_000_000;
const SLOTS_PER_ZONE: u32 = 5;
/// Slots of a zone that its hosts claim; the others stay free for replacement hosts.
const CLAIMED_SLOTS_PER_ZONE: usize = 4;
const HOST_NAME_BYTES: u64 = 48;
const ENTRY_BYTES: u64 = 40;
const HEADER_BYTES: u64 = 32;

/// A scheduled event; hosts are given by index.
#[derive(Clone, Debug)]
enum Event {
    Arrival(usize),
    Poll(usize),
    Renew(usize),
    Request(usize, usize, budget::Request),
    Reply(usize, budget::Reply),
}

/// A host with its limiter and, once it has held the lease, its owner.
struct Host {
    limiter: budget::Limiter,
    owner: Option<budget::Owner>,
    waiting: Vec<Waiting>,
}

/// A request that waits for a grant.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    arrival: usize,
    expires_at: u64,
}

/// An emulated run of one trace; times are in microseconds.
struct Run<'a, 't> {
    deployment: &'a deployment::Deployment,
    fault: &'a fault::Fault,
    trace: &'a [trace::Arrival],
    shortage: record::Shortage,
    timing: budget::Timing,
    tally: &'a mut tally::Tally<'t>,
    hosts: Vec<Host>,
    shares: Vec<budget::Share>,
    events: collections::BTreeMap<(u64, u64), Event>,
    sequence: u64,
    /// Host that holds the lease, the epoch, and the time of the last renewal.
    lease: (usize, u64, u64),
}

/// Runs a trace and counts its results in `tally`.
pub fn run<'a>(
    deployment: &'a deployment::Deployment,
    fault: &'a fault::Fault,
    trace: &'a [trace::Arrival],
    config: &Config,
    tally: &'a mut tally::Tally<'_>,
) {
    let timing = config.timing;
    let share = |host| config.share(deployment, host);
    let mut run = Run {
        deployment,
        fault,
        trace,
        shortage: config.shortage,
        timing,
        tally,
        hosts: (0..deployment.hosts)
            .map(|host| new_host(deployment, timing, host))
            .collect(),
        shares: (0..deployment.hosts).map(share).collect(),
        events: collections::BTreeMap::new(),
        sequence: 0,
        lease: (0, 0, 0),
    };
    run.schedule_events();
    run.run_events();
}

/// Settings of the grants.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Part of each limit that is divided among hosts as a reserve.
    pub reserve: skylark_core::unit::Percent,
    /// What a host does when its tokens do not suffice.
    pub shortage: record::Shortage,
    /// Timing of owners and limiters.
    pub timing: budget::Timing,
}

impl Config {
    /// Returns the share of the reserve slots that a host has claimed.
    #[must_use]
    pub fn share(&self, deployment: &deployment::Deployment, host: usize) -> budget::Share {
        let slots = budget::Reserve {
            percent: self.reserve,
            zones: u32::try_from(deployment.zones).unwrap_or(u32::MAX),
            slots: SLOTS_PER_ZONE,
        };
        let count = CLAIMED_SLOTS_PER_ZONE / deployment.hosts_in_zone(host).max(1);
        let shares = (0..count).map(|_slot| slots.share());
        shares.fold(budget::Share::NONE, budget::Share::plus)
    }
}

fn new_host(deployment: &deployment::Deployment, timing: budget::Timing, host: usize) -> Host {
    let name = name::Incarnation::new(&format!("host-{host}")).expect("the name is plain");
    let mut limiter = budget::Limiter::new(name, timing, instant::Instant::ORIGIN);
    for (account, limit) in deployment.accounts.iter().enumerate() {
        limiter.set_limit(to_u64(account), *limit, instant::Instant::ORIGIN);
    }
    Host {
        limiter,
        owner: None,
        waiting: Vec::new(),
    }
}

fn to_u64(account: usize) -> u64 {
    u64::try_from(account).unwrap_or(u64::MAX)
}

fn instant_at(now: u64) -> instant::Instant {
    instant::Instant::from_micros(now)
}

impl Run<'_, '_> {
    fn schedule_events(&mut self) {
        for index in 0..self.trace.len() {
            self.push(self.trace[index].at, Event::Arrival(index));
        }
        let end = self.trace.last().map_or(0, |arrival| arrival.at);
        for host in 0..self.hosts.len() {
            let offset = 97 * to_u64(host);
            for now in (offset..end).step_by(usize::try_from(POLL_PERIOD_MICROS).unwrap_or(1)) {
                self.push(now, Event::Poll(host));
            }
        }
        for host in [0, 1] {
            for now in (to_u64(host)..end).step_by(usize::try_from(RENEWAL_MICROS / 2).unwrap_or(1))
            {
                self.push(now, Event::Renew(host));
            }
        }
        for (host, share) in self.hosts.iter_mut().zip(&self.shares) {
            host.limiter.set_share(*share, instant::Instant::ORIGIN);
        }
    }

    fn push(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn run_events(&mut self) {
        while let Some(((now, _number), event)) = self.events.pop_first() {
            let host = match &event {
                Event::Arrival(index) => self.trace[*index].host,
                Event::Poll(host)
                | Event::Renew(host)
                | Event::Request(host, _, _)
                | Event::Reply(host, _) => *host,
            };
            if !self.fault.is_stopped(host, now) {
                self.process(event, now);
            } else if let Some(resume_time) = self.fault.resume_time(now) {
                self.push(resume_time, event);
            }
        }
    }

    fn process(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrival(index) => self.arrive(index, now),
            Event::Poll(host) => {
                self.expire(host, now);
                self.retry(host, now);
                self.send_request(host, now);
            }
            Event::Renew(host) => self.renew(host, now),
            Event::Request(host, from, request) => self.send_reply(host, from, &request, now),
            Event::Reply(host, reply) => {
                self.hosts[host]
                    .limiter
                    .apply_reply(&reply, instant_at(now));
                self.retry(host, now);
                self.send_request(host, now);
            }
        }
    }

    fn arrive(&mut self, index: usize, now: u64) {
        let arrival = self.trace[index];
        let limiter = &mut self.hosts[arrival.host].limiter;
        let charges = [charge(&arrival)];
        match limiter.admit(&charges, self.shortage, instant_at(now)) {
            budget::Verdict::Admit => self.tally.admit(&arrival, now, now),
            budget::Verdict::Refuse { .. } => self.tally.refuse(&arrival),
            budget::Verdict::Wait { .. } => {
                let expires_at = now + baseline::MAX_WAIT_MICROS;
                let waiting = Waiting {
                    arrival: index,
                    expires_at,
                };
                self.hosts[arrival.host].waiting.push(waiting);
            }
        }
        self.send_request(arrival.host, now);
    }

    fn retry(&mut self, host: usize, now: u64) {
        let pending = std::mem::take(&mut self.hosts[host].waiting);
        for request in pending {
            let arrival = self.trace[request.arrival];
            let limiter = &mut self.hosts[host].limiter;
            match limiter.retry(&[charge(&arrival)], instant_at(now)) {
                budget::Verdict::Admit => self.tally.admit(&arrival, now, now),
                budget::Verdict::Refuse { .. } => self.tally.refuse(&arrival),
                budget::Verdict::Wait { .. } => self.hosts[host].waiting.push(request),
            }
        }
    }

    fn expire(&mut self, host: usize, now: u64) {
        let pending = std::mem::take(&mut self.hosts[host].waiting);
        for request in pending {
            if now >= request.expires_at {
                self.tally.refuse(&self.trace[request.arrival]);
            } else {
                self.hosts[host].waiting.push(request);
            }
        }
    }

    fn send_request(&mut self, host: usize, now: u64) {
        let Some(request) = self.hosts[host].limiter.poll(instant_at(now)) else {
            return;
        };
        let owner = self.lease.0;
        let bytes = HEADER_BYTES + HOST_NAME_BYTES + ENTRY_BYTES * to_u64(request.reports.len());
        self.tally.send(now, bytes);
        if !self.fault.is_cut(self.deployment, host, owner, now) {
            let delay = self.deployment.delay(host, owner);
            self.push(now + delay, Event::Request(owner, host, request));
        }
    }

    fn send_reply(&mut self, host: usize, from: usize, request: &budget::Request, now: u64) {
        let owner = self.hosts[host].owner.as_mut();
        let Some(reply) = owner.and_then(|owner| owner.answer(request, instant_at(now))) else {
            return;
        };
        let low_bytes = 9 * to_u64(reply.low.len());
        let bytes = HEADER_BYTES + low_bytes + ENTRY_BYTES * to_u64(reply.grants.len());
        self.tally.send(now, bytes);
        if !self.fault.is_cut(self.deployment, host, from, now) {
            let delay = self.deployment.delay(host, from);
            self.push(now + delay, Event::Reply(from, reply));
        }
    }

    /// Renews the lease or takes it after it lapsed; the delay of the store is not emulated.
    fn renew(&mut self, host: usize, now: u64) {
        let (holder, epoch, renewed) = self.lease;
        let lease_micros = u64::try_from(LEASE_DURATION.as_micros()).unwrap_or(u64::MAX);
        let is_lease_lapsed = epoch == 0 || now >= renewed + lease_micros;
        let is_store_unreachable = self.fault.is_store_unreachable(self.deployment, host, now);
        if is_store_unreachable || (host != holder && !is_lease_lapsed) {
            return;
        }
        let epoch = epoch + u64::from(is_lease_lapsed);
        self.lease = (host, epoch, now);
        let expires_at = instant_at(now) + self.timing.shorten_for_drift(LEASE_DURATION);
        let term = lease::Term::new(epoch, expires_at);
        let claimed = self
            .shares
            .iter()
            .fold(budget::Share::NONE, |sum, s| sum.plus(*s));
        let reading = budget::Reading::new(claimed, claimed, instant_at(now), &self.timing);
        if let Some(owner) = self.hosts[host].owner.as_mut().filter(|_| !is_lease_lapsed) {
            owner.renew(term, reading, instant_at(now));
            return;
        }
        let mut owner = budget::Owner::new(term, reading, self.timing);
        for (account, limit) in self.deployment.accounts.iter().enumerate() {
            owner.set_limit(to_u64(account), *limit, instant_at(now));
        }
        self.hosts[host].owner = Some(owner);
    }
}

fn charge(arrival: &trace::Arrival) -> budget::Charge {
    budget::Charge {
        index: arrival.account,
        amount: budget::Amount::TOKEN,
    }
}
