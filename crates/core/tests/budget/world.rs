//! Simulation of entry hosts, a lossy network and a table, driven by one seed.

use std::collections;
use std::time;

use rand::{RngExt as _, SeedableRng as _};
use skylark_core::budget;
use skylark_core::instant;
use skylark_core::lease;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;

use super::reference;

/// Rates and bursts of the budgets: two client accounts, and a link that both use.
pub const LIMITS: [(u64, u64); 3] = [(200, 60), (40, 12), (150, 40)];
/// Rates and bursts after the change of the records.
const CHANGED_LIMITS: [(u64, u64); 3] = [(80, 20), (90, 40), (150, 40)];
const STEP_MICROS: u64 = 1_000;
const MAX_DRIFT_PPM: u32 = 20_000;
const LEASE_DURATION: time::Duration = time::Duration::from_millis(500);

/// The faults of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    /// No faults, and load below the rate.
    None,
    /// All faults, and load above the rate.
    All,
}

/// Counts of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Charges that the reference bucket refuses.
    pub overadmitted: u64,
    /// Changes of owner.
    pub owner_changes: u64,
    /// Times that a host started to spend from its slots.
    pub slot_activations: u64,
}

impl Tally {
    /// Returns the sums of the counts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            arrived: self.arrived + other.arrived,
            admitted: self.admitted + other.admitted,
            overadmitted: self.overadmitted + other.overadmitted,
            owner_changes: self.owner_changes + other.owner_changes,
            slot_activations: self.slot_activations + other.slot_activations,
        }
    }
}

struct Host {
    incarnation: u64,
    /// Rate of the clock in millionths of true time, and its offset in microseconds.
    clock: (u64, u64),
    limiter: budget::Limiter,
    claim: budget::Claim,
    owner: Option<budget::Owner>,
    frozen_until: u64,
    stopped_at: Option<u64>,
    change_at: u64,
    version: u8,
    renewal_at: u64,
    is_call_pending: bool,
    owner_hint: usize,
    load: u64,
}

#[derive(Clone, Debug)]
enum Message {
    Request(budget::Request),
    Reply(budget::Reply),
    Call(usize, Call),
    CallReply(CallReply),
}

#[derive(Clone, Debug)]
enum Call {
    Renew { sent: instant::Instant, epoch: u64 },
    Read,
    Write(Vec<budget::Slot>),
}

#[derive(Clone, Debug)]
enum CallReply {
    Renewed {
        term: lease::Term,
        slots: Vec<budget::Slot>,
    },
    Read(Vec<budget::Slot>),
    Written,
    Conflict,
    Lost,
}

/// A simulated deployment of entry hosts.
pub struct World {
    rng: rand_chacha::ChaCha8Rng,
    faults: Faults,
    timing: budget::Timing,
    reserve: budget::Reserve,
    hosts: Vec<Host>,
    /// Receiver, its incarnation and message, by true time of arrival in microseconds and number.
    messages: collections::BTreeMap<(u64, u64), (usize, u64, Message)>,
    message_count: u64,
    /// Start and end in microseconds, and host that is cut off from the others.
    cuts: Vec<(u64, u64, usize)>,
    /// Start and end of the table's outages, in microseconds.
    outages: Vec<(u64, u64)>,
    /// Epoch, holder and true time of the last renewal, in microseconds.
    lease: (u64, u64, u64),
    slots: Vec<budget::Slot>,
    references: Vec<reference::Reference>,
    settled_at: Option<u64>,
    now: u64,
    phase_end: u64,
    is_calm: bool,
    drift_direction: i64,
    /// Counts so far.
    pub tally: Tally,
}

impl World {
    /// Creates a deployment of `count` hosts, each in its own availability zone.
    pub fn new(seed: u64, count: usize, faults: Faults) -> Self {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let timing = budget::Timing {
            report_interval: time::Duration::from_millis(20),
            ask_timeout: time::Duration::from_millis(50),
            horizon: time::Duration::from_millis(30),
            loan_ttl: time::Duration::from_millis(300),
            reading_ttl: LEASE_DURATION,
            max_pause: time::Duration::from_millis(600),
            max_drift_ppm: MAX_DRIFT_PPM,
        };
        // -1 and 1: all clocks drift by the maximum; 0: each clock drifts at random.
        let drift_direction = rng.random_range(-1..=1);
        let percent = unit::Percent::from_basis_points(2_500 * rng.random_range(0..=4));
        let zones = u32::try_from(count).expect("few hosts");
        let reserve = budget::Reserve {
            percent,
            zones,
            slots: 2,
        };
        let mut world = Self {
            rng,
            faults,
            timing,
            reserve,
            hosts: Vec::new(),
            messages: collections::BTreeMap::new(),
            message_count: 0,
            cuts: Vec::new(),
            outages: Vec::new(),
            lease: (0, 0, 0),
            slots: Vec::new(),
            references: LIMITS
                .iter()
                .map(|(r, b)| reference::Reference::new(*r, *b))
                .collect(),
            settled_at: None,
            now: 0,
            phase_end: 0,
            is_calm: false,
            drift_direction,
            tally: Tally::default(),
        };
        for index in 0..count {
            let host = world.host(index, 0);
            world.hosts.push(host);
        }
        world
    }

    /// Runs for a true time in milliseconds; the limits change at `change`, in milliseconds.
    pub fn run(&mut self, millis: u64, change: Option<u64>) -> Tally {
        if self.faults == Faults::All {
            self.plan_faults(millis);
        }
        if let Some(change) = change {
            self.schedule_change(change * STEP_MICROS);
        }
        for step in 0..millis {
            self.now = step * STEP_MICROS;
            self.deliver();
            self.settle_references();
            for index in 0..self.hosts.len() {
                self.inject_fault(index);
                if self.is_running(index) {
                    self.act(index);
                }
            }
            self.free_slots();
        }
        self.tally
    }

    fn host(&mut self, index: usize, incarnation: u64) -> Host {
        let bound = i64::from(MAX_DRIFT_PPM);
        let skew = match self.drift_direction {
            0 => self.rng.random_range(-bound..=bound),
            direction => direction * bound,
        };
        let rate = 1_000_000_u64.saturating_add_signed(skew);
        let clock = (rate, self.rng.random_range(0..1_000_000_000));
        let now = local(clock, self.now);
        let holder =
            name::Incarnation::new(&format!("h{index}-{incarnation}")).expect("valid name");
        let host = name::Host::new(&format!("h{index}")).expect("valid name");
        let zone = name::Zone::new(&format!("z{index}")).expect("valid name");
        let mut limiter = budget::Limiter::new(holder.clone(), self.timing, now);
        let is_new = self.settled_at.is_some();
        let limits = if is_new { CHANGED_LIMITS } else { LIMITS };
        for (id, (rate, burst)) in limits.iter().enumerate() {
            limiter.set_limit(id as u64, limit(*rate, *burst), now);
        }
        Host {
            incarnation,
            clock,
            limiter,
            claim: budget::Claim::new(host, holder, zone, 1),
            owner: None,
            frozen_until: 0,
            stopped_at: None,
            change_at: u64::MAX,
            version: u8::from(is_new),
            renewal_at: self.now + self.rng.random_range(0..100_000),
            is_call_pending: false,
            owner_hint: 0,
            load: 0,
        }
    }

    fn plan_faults(&mut self, millis: u64) {
        let end = millis * STEP_MICROS;
        for _ in 0..3 {
            let from = self.rng.random_range(0..end);
            let until = from + self.rng.random_range(0..2_000_000);
            let host = self.rng.random_range(0..self.hosts.len());
            self.cuts.push((from, until, host));
        }
        let from = self.rng.random_range(0..end);
        let until = from + self.rng.random_range(0..3_000_000);
        self.outages.push((from, until));
    }

    fn schedule_change(&mut self, at: u64) {
        let mut last = at;
        for host in &mut self.hosts {
            host.change_at = at + self.rng.random_range(0..1_500_000);
            last = last.max(host.change_at);
        }
        for (reference, (old, new)) in self
            .references
            .iter_mut()
            .zip(LIMITS.iter().zip(CHANGED_LIMITS))
        {
            reference.resize(old.0.max(new.0), old.1.max(new.1), 0);
        }
        // Loans under the old limits expire within one loan time after the last host's change.
        self.settled_at = Some(last + 400_000);
    }

    fn settle_references(&mut self) {
        if self.settled_at.is_none_or(|at| self.now < at) {
            return;
        }
        self.settled_at = Some(u64::MAX);
        for (reference, (rate, burst)) in self.references.iter_mut().zip(CHANGED_LIMITS) {
            reference.resize(rate, burst, self.now);
        }
    }

    fn is_running(&self, index: usize) -> bool {
        self.hosts[index].stopped_at.is_none() && self.now >= self.hosts[index].frozen_until
    }

    /// Kills, freezes or replaces the process of a host.
    fn inject_fault(&mut self, index: usize) {
        if self.faults == Faults::None {
            return;
        }
        if self.hosts[index]
            .stopped_at
            .is_some_and(|stopped_at| self.now > stopped_at + 300_000)
        {
            let incarnation = self.hosts[index].incarnation + 1;
            let change = self.hosts[index].change_at;
            let mut host = self.host(index, incarnation);
            host.change_at = change;
            self.hosts[index] = host;
        }
        if !self.is_running(index) {
            return;
        }
        match self.rng.random_range(0..6_000) {
            0 => self.hosts[index].stopped_at = Some(self.now),
            1..=3 => {
                self.hosts[index].frozen_until = self.now + self.rng.random_range(0..2_500_000);
            }
            _ => {}
        }
    }

    fn local(&self, index: usize) -> instant::Instant {
        local(self.hosts[index].clock, self.now)
    }

    fn act(&mut self, index: usize) {
        let now = self.local(index);
        if self.hosts[index].limiter.check_pause(now) {
            self.on_claim_event(index, budget::Event::Forfeited, now);
        }
        self.apply_change(index, now);
        self.advance_claim(index, now);
        self.renew(index, now);
        if self.rng.random_range(0..20) == 0 {
            self.hosts[index].owner_hint = usize::try_from(self.lease.1).expect("host index");
        }
        let owner_hint = self.hosts[index].owner_hint;
        if let Some(request) = self.hosts[index].limiter.poll(now) {
            self.send(index, owner_hint, &Message::Request(request));
        }
        self.generate_load(index, now);
    }

    fn apply_change(&mut self, index: usize, now: instant::Instant) {
        let host = &mut self.hosts[index];
        if host.version > 0 || self.now < host.change_at {
            return;
        }
        host.version = 1;
        for (id, (rate, burst)) in CHANGED_LIMITS.iter().enumerate() {
            host.limiter.set_limit(id as u64, limit(*rate, *burst), now);
            if let Some(owner) = &mut host.owner {
                owner.set_limit(id as u64, limit(*rate, *burst), now);
            }
        }
    }

    fn on_claim_event(&mut self, index: usize, event: budget::Event<'_>, now: instant::Instant) {
        let host = &mut self.hosts[index];
        host.claim.on_event(event, &self.reserve, &self.timing, now);
        host.is_call_pending = false;
    }

    fn advance_claim(&mut self, index: usize, now: instant::Instant) {
        if self.hosts[index].is_call_pending {
            return;
        }
        match self.hosts[index].claim.next_step(now) {
            budget::Step::Read => self.send_call(index, Call::Read),
            budget::Step::Write(slots) => self.send_call(index, Call::Write(slots)),
            budget::Step::Spend(share) => {
                self.hosts[index].limiter.set_share(share, now);
                self.tally.slot_activations += 1;
            }
            budget::Step::Wait(_) | budget::Step::Done => {}
        }
    }

    fn send_call(&mut self, index: usize, call: Call) {
        self.hosts[index].is_call_pending = true;
        self.send(index, index, &Message::Call(index, call));
    }

    fn renew(&mut self, index: usize, now: instant::Instant) {
        if self.now < self.hosts[index].renewal_at {
            return;
        }
        self.hosts[index].renewal_at = self.now + 120_000;
        let epoch = self.hosts[index].owner.as_ref();
        let epoch = epoch.map_or(0, |owner| owner.term().epoch);
        self.send(
            index,
            index,
            &Message::Call(index, Call::Renew { sent: now, epoch }),
        );
    }

    fn generate_load(&mut self, index: usize, now: instant::Instant) {
        if self.faults == Faults::None {
            let odds = if index == 0 { 40 } else { 10 };
            if self.rng.random_range(0..1_000) < odds {
                self.request(index, 0, now);
            }
            return;
        }
        self.vary_load(index);
        for _ in 0..self.hosts[index].load {
            let account = self.rng.random_range(0..2);
            self.request(index, account, now);
        }
    }

    /// Varies the load in phases: all hosts are idle together, then exhaust the budgets together.
    fn vary_load(&mut self, index: usize) {
        if self.now >= self.phase_end {
            self.is_calm = !self.is_calm;
            let span = if self.is_calm { 900_000 } else { 700_000 };
            self.phase_end = self.now + self.rng.random_range(100_000..span);
        }
        if self.rng.random_range(0..60) == 0 {
            let top = if self.is_calm { 1 } else { 6 };
            self.hosts[index].load = self.rng.random_range(0..top);
        }
    }

    /// Admits or rejects a request, which needs a token of its account and sometimes of the link.
    fn request(&mut self, index: usize, account: usize, now: instant::Instant) {
        self.tally.arrived += 1;
        let mut charges = vec![charge(account, 1)];
        if self.faults == Faults::All && self.rng.random_range(0..3) == 0 {
            charges.push(charge(2, self.rng.random_range(1..4)));
        }
        let verdict = self.hosts[index]
            .limiter
            .admit(&charges, record::Shortage::Ask, now);
        if verdict != budget::Verdict::Admit {
            return;
        }
        self.tally.admitted += 1;
        for charge in charges {
            let tokens = charge.amount.as_micros() / 1_000_000;
            if !self.references[charge.index].take(tokens, self.now) {
                self.tally.overadmitted += 1;
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let is_faulty = self.faults == Faults::All;
        let copies = match self.rng.random_range(0..20) {
            0 if is_faulty => 0,
            1 if is_faulty => 2,
            _ => 1,
        };
        if from != to && (self.is_cut(from) || self.is_cut(to)) {
            return;
        }
        let incarnation = if from == to {
            self.hosts[to].incarnation
        } else {
            u64::MAX
        };
        for _ in 0..copies {
            let delay = match self.rng.random_range(0..40) {
                0 if is_faulty => self.rng.random_range(0..1_500_000),
                _ => self.rng.random_range(500..8_000),
            };
            self.message_count += 1;
            let key = (self.now + delay, self.message_count);
            self.messages
                .insert(key, (to, incarnation, message.clone()));
        }
    }

    fn is_cut(&self, host: usize) -> bool {
        let mut cuts = self.cuts.iter();
        cuts.any(|(from, until, cut)| *cut == host && (*from..*until).contains(&self.now))
    }

    fn deliver(&mut self) {
        let due: Vec<(u64, u64)> = self
            .messages
            .range(..(self.now, 0))
            .map(|(k, _)| *k)
            .collect();
        for key in due {
            let Some((to, incarnation, message)) = self.messages.remove(&key) else {
                continue;
            };
            if let Message::Call(from, call) = message {
                self.serve_call(from, incarnation, call);
                continue;
            }
            if !self.is_running(to) {
                // A frozen host receives its messages after it resumes.
                if self.hosts[to].stopped_at.is_none() {
                    let late = (self.hosts[to].frozen_until + STEP_MICROS, key.1);
                    self.messages.insert(late, (to, incarnation, message));
                }
                continue;
            }
            if incarnation == u64::MAX || incarnation == self.hosts[to].incarnation {
                self.receive(to, message);
            }
        }
    }

    fn receive(&mut self, to: usize, message: Message) {
        let now = self.local(to);
        if self.hosts[to].limiter.check_pause(now) {
            self.on_claim_event(to, budget::Event::Forfeited, now);
        }
        match message {
            Message::Request(request) => {
                let owner = self.hosts[to].owner.as_mut();
                let reply = owner.and_then(|owner| owner.answer(&request, now));
                let sender = request.limiter.as_str()[1..].split('-').next();
                let sender = sender
                    .and_then(|text| text.parse().ok())
                    .expect("host index");
                if let Some(reply) = reply {
                    self.send(to, sender, &Message::Reply(reply));
                }
            }
            Message::Reply(reply) => self.hosts[to].limiter.apply_reply(&reply, now),
            Message::Call(..) => {}
            Message::CallReply(reply) => self.on_call_reply(to, reply, now),
        }
    }

    fn on_call_reply(&mut self, to: usize, reply: CallReply, now: instant::Instant) {
        match reply {
            CallReply::Renewed { term, slots } => self.on_lease_renewed(to, term, &slots, now),
            // A repeated or late reply finds no pending call.
            _ if !self.hosts[to].is_call_pending => {}
            CallReply::Read(slots) => self.on_claim_event(to, budget::Event::Read(&slots), now),
            CallReply::Written => self.on_claim_event(to, budget::Event::Written, now),
            CallReply::Conflict => self.on_claim_event(to, budget::Event::Conflict, now),
            CallReply::Lost => self.on_claim_event(to, budget::Event::Unanswered, now),
        }
    }

    fn on_lease_renewed(
        &mut self,
        to: usize,
        term: lease::Term,
        slots: &[budget::Slot],
        now: instant::Instant,
    ) {
        let claimed = budget::Slot::total_share(slots);
        let max_claimed = budget::Share::of_slot(self.reserve.percent, 1);
        let reading = budget::Reading {
            claimed,
            limit: max_claimed.max(claimed),
            until: term.until,
        };
        let host = &mut self.hosts[to];
        let known = host.owner.as_ref().map_or(0, |owner| owner.term().epoch);
        if term.epoch < known {
            return;
        }
        if term.epoch == known {
            let owner = host.owner.as_mut().expect("owner");
            // Replies to renewals may arrive out of order.
            if owner.term().until < term.until {
                owner.renew(term, reading, now);
            }
            return;
        }
        self.tally.owner_changes += 1;
        let mut owner = budget::Owner::new(term, reading, self.timing);
        let limits = if host.version > 0 {
            CHANGED_LIMITS
        } else {
            LIMITS
        };
        for (id, (rate, burst)) in limits.iter().enumerate() {
            owner.set_limit(id as u64, limit(*rate, *burst), now);
        }
        host.owner = Some(owner);
    }

    /// Serves a call to the table; the call or its reply may be lost.
    fn serve_call(&mut self, from: usize, incarnation: u64, call: Call) {
        let is_down = self
            .outages
            .iter()
            .any(|(f, u)| (*f..*u).contains(&self.now));
        let is_lossy = self.faults == Faults::All && self.rng.random_range(0..10) == 0;
        let is_claim = !matches!(call, Call::Renew { .. });
        let answer = if is_down || self.is_cut(from) {
            None
        } else {
            self.apply_call(from, incarnation, call)
        };
        let reply = if is_lossy { None } else { answer };
        match reply {
            Some(reply) => self.send(from, from, &Message::CallReply(reply)),
            None if is_claim => self.send(from, from, &Message::CallReply(CallReply::Lost)),
            None => {}
        }
    }

    fn apply_call(&mut self, from: usize, incarnation: u64, call: Call) -> Option<CallReply> {
        match call {
            Call::Renew { sent, epoch } => {
                let (held, holder, renewed) = self.lease;
                let duration = u64::try_from(LEASE_DURATION.as_micros()).expect("short time");
                let is_own = epoch == held && holder == from as u64 && epoch > 0;
                if !is_own && self.now < renewed + duration && held > 0 {
                    return None;
                }
                let is_expired = self.now >= renewed + duration;
                let epoch = if is_own && !is_expired {
                    held
                } else {
                    held + 1
                };
                self.lease = (epoch, from as u64, self.now);
                let until = sent + self.timing.shorten_for_drift(LEASE_DURATION);
                let is_same = self.hosts[from].incarnation == incarnation;
                is_same.then(|| CallReply::Renewed {
                    term: lease::Term::new(epoch, until),
                    slots: self.slots.clone(),
                })
            }
            Call::Read => Some(CallReply::Read(self.slots.clone())),
            Call::Write(slots) => {
                let is_free = |slot: &budget::Slot| {
                    let mut rows = self.slots.iter();
                    !rows.any(|row| row.zone == slot.zone && row.number == slot.number)
                };
                if !slots.iter().all(is_free) {
                    return Some(CallReply::Conflict);
                }
                self.slots.extend(slots);
                Some(CallReply::Written)
            }
        }
    }

    /// Frees the slots of processes that were absent from the platform's list for long enough.
    fn free_slots(&mut self) {
        let bound = self.timing.lengthen_for_drift(self.timing.max_pause);
        let bound = u64::try_from(bound.as_micros()).expect("short time");
        let hosts = &self.hosts;
        let now = self.now;
        self.slots.retain(|slot| {
            let index: usize = slot.host.as_str()[1..].parse().expect("host index");
            let host = &hosts[index];
            let is_current = slot.holder.as_str() == format!("h{index}-{}", host.incarnation);
            // A process is replaced 300 ms after its end, before the bound has passed. Slots of
            // replaced processes are freed at whole seconds, from twice the bound on.
            let ended = host.stopped_at.filter(|_stopped_at| is_current);
            let is_dead = ended.is_some_and(|stopped_at| now > stopped_at + bound);
            let is_old = !is_current && now % 1_000_000 < STEP_MICROS && now > 2 * bound;
            !(is_dead || is_old)
        });
    }
}

fn local(clock: (u64, u64), now: u64) -> instant::Instant {
    let scaled = u128::from(now) * u128::from(clock.0) / 1_000_000;
    instant::Instant::from_micros(clock.1 + u64::try_from(scaled).expect("short time"))
}

fn limit(rate: u64, burst: u64) -> budget::Limit {
    budget::Limit::of_requests(unit::Rate::per_second(rate), burst)
}

fn charge(index: usize, tokens: u64) -> budget::Charge {
    budget::Charge {
        index,
        amount: budget::Amount::from_tokens(tokens),
    }
}
