//! Loans from an owner to holders, driven by events in order of time.

use std::collections;
use std::time;

use skylark_core::budget;
use skylark_core::instant;
use skylark_core::lease;
use skylark_core::name;
use skylark_core::record;

use super::deployment;
use super::fault;
use super::simple;
use super::tally;
use super::trace;

const POLL: u64 = 5_000;
const TENURE: time::Duration = time::Duration::from_secs(3);
const RENEWAL: u64 = 1_000_000;
const SLOTS_PER_ZONE: u32 = 5;
/// Slots of a zone that its hosts divide; the others are for replacements.
const CLAIMED_PER_ZONE: usize = 4;
const NAME_BYTES: u64 = 48;
const ENTRY_BYTES: u64 = 40;
const HEAD_BYTES: u64 = 32;

/// What happens at a time.
#[derive(Clone, Debug)]
enum Event {
    Arrival(usize),
    Poll(usize),
    Renew(usize),
    Ask(usize, usize, budget::Request),
    Answer(usize, budget::Reply),
}

/// A host with its part of the budgets.
struct Host {
    holder: budget::Limiter,
    owner: Option<budget::Owner>,
    waiting: Vec<Waiting>,
}

/// A request that waits for the owner's answer.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    arrival: usize,
    until: u64,
}

/// A run of one trace.
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
    count: u64,
    /// Host that holds the lease, its epoch, and when it was last renewed.
    lease: (usize, u64, u64),
}

/// Runs a trace with a plan of the reserve.
pub fn run<'a>(
    deployment: &'a deployment::Deployment,
    fault: &'a fault::Fault,
    trace: &'a [trace::Arrival],
    plan: &Plan,
    tally: &'a mut tally::Tally<'_>,
) {
    let timing = plan.timing;
    let share = |host| plan.share(deployment, host);
    let mut run = Run {
        deployment,
        fault,
        trace,
        shortage: plan.shortage,
        timing,
        tally,
        hosts: (0..deployment.hosts)
            .map(|host| new_host(deployment, timing, host))
            .collect(),
        shares: (0..deployment.hosts).map(share).collect(),
        events: collections::BTreeMap::new(),
        count: 0,
        lease: (0, 0, 0),
    };
    run.start();
    run.drain();
}

/// How loans are made.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Part of each budget that is reserve.
    pub reserve: skylark_core::unit::Percent,
    /// What a host does when it is short.
    pub shortage: record::Shortage,
    /// Times of owners and holders.
    pub timing: budget::Timing,
}

impl Plan {
    /// Returns the share of the slots that a host has claimed.
    #[must_use]
    pub fn share(&self, deployment: &deployment::Deployment, host: usize) -> budget::Share {
        let slots = budget::Reserve {
            percent: self.reserve,
            zones: u32::try_from(deployment.zones).unwrap_or(u32::MAX),
            slots: SLOTS_PER_ZONE,
        };
        let count = CLAIMED_PER_ZONE / deployment.peers(host).max(1);
        let shares = (0..count).map(|_slot| slots.share());
        shares.fold(budget::Share::NONE, budget::Share::plus)
    }
}

fn new_host(deployment: &deployment::Deployment, timing: budget::Timing, host: usize) -> Host {
    let name = name::Incarnation::new(&format!("host-{host}")).expect("the name is plain");
    let mut holder = budget::Limiter::new(name, timing, instant::Instant::ORIGIN);
    for (account, part) in deployment.accounts.iter().enumerate() {
        holder.set_limit(id(account), *part, instant::Instant::ORIGIN);
    }
    Host {
        holder,
        owner: None,
        waiting: Vec::new(),
    }
}

fn id(account: usize) -> u64 {
    u64::try_from(account).unwrap_or(u64::MAX)
}

fn at(now: u64) -> instant::Instant {
    instant::Instant::from_micros(now)
}

impl Run<'_, '_> {
    fn start(&mut self) {
        for index in 0..self.trace.len() {
            self.push(self.trace[index].at, Event::Arrival(index));
        }
        let end = self.trace.last().map_or(0, |arrival| arrival.at);
        for host in 0..self.hosts.len() {
            let offset = 97 * id(host);
            for now in (offset..end).step_by(usize::try_from(POLL).unwrap_or(1)) {
                self.push(now, Event::Poll(host));
            }
        }
        for host in [0, 1] {
            for now in (id(host)..end).step_by(usize::try_from(RENEWAL / 2).unwrap_or(1)) {
                self.push(now, Event::Renew(host));
            }
        }
        for (host, share) in self.hosts.iter_mut().zip(&self.shares) {
            host.holder.set_share(*share, instant::Instant::ORIGIN);
        }
    }

    fn push(&mut self, time: u64, event: Event) {
        self.count += 1;
        self.events.insert((time, self.count), event);
    }

    fn drain(&mut self) {
        while let Some(((now, _number), event)) = self.events.pop_first() {
            let host = match &event {
                Event::Arrival(index) => self.trace[*index].host,
                Event::Poll(host)
                | Event::Renew(host)
                | Event::Ask(host, _, _)
                | Event::Answer(host, _) => *host,
            };
            if !self.fault.is_stopped(host, now) {
                self.handle(event, now);
            } else if let Some(thaw) = self.fault.thaw(now) {
                self.push(thaw, event);
            }
        }
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrival(index) => self.arrive(index, now),
            Event::Poll(host) => {
                self.expire(host, now);
                self.retry(host, now);
                self.ask(host, now);
            }
            Event::Renew(host) => self.renew(host, now),
            Event::Ask(host, from, ask) => self.answer(host, from, &ask, now),
            Event::Answer(host, answer) => {
                self.hosts[host].holder.apply_reply(&answer, at(now));
                self.retry(host, now);
                self.ask(host, now);
            }
        }
    }

    fn arrive(&mut self, index: usize, now: u64) {
        let arrival = self.trace[index];
        let holder = &mut self.hosts[arrival.host].holder;
        let charges = [charge(&arrival)];
        match holder.admit(&charges, self.shortage, at(now)) {
            budget::Verdict::Admit => self.tally.admit(&arrival, now, now),
            budget::Verdict::Refuse { .. } => self.tally.refuse(&arrival),
            budget::Verdict::Wait { .. } => {
                let until = now + simple::PATIENCE;
                let waiting = Waiting {
                    arrival: index,
                    until,
                };
                self.hosts[arrival.host].waiting.push(waiting);
            }
        }
        self.ask(arrival.host, now);
    }

    fn retry(&mut self, host: usize, now: u64) {
        let waiting = std::mem::take(&mut self.hosts[host].waiting);
        for request in waiting {
            let arrival = self.trace[request.arrival];
            let holder = &mut self.hosts[host].holder;
            match holder.retry(&[charge(&arrival)], at(now)) {
                budget::Verdict::Admit => self.tally.admit(&arrival, now, now),
                budget::Verdict::Refuse { .. } => self.tally.refuse(&arrival),
                budget::Verdict::Wait { .. } => self.hosts[host].waiting.push(request),
            }
        }
    }

    fn expire(&mut self, host: usize, now: u64) {
        let waiting = std::mem::take(&mut self.hosts[host].waiting);
        for request in waiting {
            if now >= request.until {
                self.tally.refuse(&self.trace[request.arrival]);
            } else {
                self.hosts[host].waiting.push(request);
            }
        }
    }

    fn ask(&mut self, host: usize, now: u64) {
        let Some(ask) = self.hosts[host].holder.poll(at(now)) else {
            return;
        };
        let owner = self.lease.0;
        let bytes = HEAD_BYTES + NAME_BYTES + ENTRY_BYTES * id(ask.reports.len());
        self.tally.send(now, bytes);
        if !self.fault.is_cut(self.deployment, host, owner, now) {
            let delay = self.deployment.delay(host, owner);
            self.push(now + delay, Event::Ask(owner, host, ask));
        }
    }

    fn answer(&mut self, host: usize, from: usize, ask: &budget::Request, now: u64) {
        let owner = self.hosts[host].owner.as_mut();
        let Some(answer) = owner.and_then(|owner| owner.answer(ask, at(now))) else {
            return;
        };
        let needy = 9 * id(answer.low.len());
        let bytes = HEAD_BYTES + needy + ENTRY_BYTES * id(answer.grants.len());
        self.tally.send(now, bytes);
        if !self.fault.is_cut(self.deployment, host, from, now) {
            let delay = self.deployment.delay(host, from);
            self.push(now + delay, Event::Answer(from, answer));
        }
    }

    /// Renews or takes the lease; the store's own delay is left out.
    fn renew(&mut self, host: usize, now: u64) {
        let (holder, epoch, renewed) = self.lease;
        let lapse = u64::try_from(TENURE.as_micros()).unwrap_or(u64::MAX);
        let is_lapsed = epoch == 0 || now >= renewed + lapse;
        let is_out = self.fault.is_storeless(self.deployment, host, now);
        if is_out || (host != holder && !is_lapsed) {
            return;
        }
        let epoch = epoch + u64::from(is_lapsed);
        self.lease = (host, epoch, now);
        let until = at(now) + self.timing.shorten_for_drift(TENURE);
        let tenure = lease::Term::new(epoch, until);
        let claimed = self
            .shares
            .iter()
            .fold(budget::Share::NONE, |sum, s| sum.plus(*s));
        let reading = budget::Reading::new(claimed, claimed, at(now), &self.timing);
        if let Some(owner) = self.hosts[host].owner.as_mut().filter(|_| !is_lapsed) {
            owner.renew(tenure, reading, at(now));
            return;
        }
        let mut owner = budget::Owner::new(tenure, reading, self.timing);
        for (account, part) in self.deployment.accounts.iter().enumerate() {
            owner.set_limit(id(account), *part, at(now));
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
