//! Entry hosts, a lossy network and a table, driven by one seed.

use std::collections;
use std::time;

use rand::{RngExt as _, SeedableRng as _};
use skylark_core::budget;
use skylark_core::instant;
use skylark_core::lease;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;

use super::naive;

/// Budgets of the world: two client accounts and a link that both use.
pub const BUDGETS: [(u64, u64); 3] = [(200, 60), (40, 12), (150, 40)];
/// The budgets after the change of the records.
const CHANGED: [(u64, u64); 3] = [(80, 20), (90, 40), (150, 40)];
const STEP: u64 = 1_000;
const DRIFT: u32 = 20_000;
const LEASE: time::Duration = time::Duration::from_millis(500);

/// Which faults a schedule has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    /// None, and load below the rate.
    None,
    /// Everything, and load above the rate.
    All,
}

/// What came of a schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Budget charges that one bucket would not have allowed.
    pub excess: u64,
    /// Changes of owner.
    pub owners: u64,
    /// Times that a host's slots were funded.
    pub funded: u64,
}

impl Tally {
    /// Returns the sum.
    pub fn plus(self, other: Self) -> Self {
        Self {
            arrived: self.arrived + other.arrived,
            admitted: self.admitted + other.admitted,
            excess: self.excess + other.excess,
            owners: self.owners + other.owners,
            funded: self.funded + other.funded,
        }
    }
}

struct Host {
    life: u64,
    clock: (u64, u64),
    holder: budget::Limiter,
    claim: budget::Claim,
    owner: Option<budget::Owner>,
    thaw: u64,
    gone: Option<u64>,
    change: u64,
    version: u8,
    renewal: u64,
    asked: bool,
    hint: usize,
    load: u64,
}

#[derive(Clone, Debug)]
enum Message {
    Ask(budget::Request),
    Answer(budget::Reply),
    Store(usize, Call),
    Reply(Reply),
}

#[derive(Clone, Debug)]
enum Call {
    Renew { sent: instant::Instant, epoch: u64 },
    Read,
    Write(Vec<budget::Slot>),
}

#[derive(Clone, Debug)]
enum Reply {
    Renewed {
        tenure: lease::Term,
        slots: Vec<budget::Slot>,
    },
    Read(Vec<budget::Slot>),
    Written,
    Conflict,
    Lost,
}

/// A world of entry hosts.
pub struct World {
    rng: rand_chacha::ChaCha8Rng,
    faults: Faults,
    timing: budget::Timing,
    plan: budget::Reserve,
    hosts: Vec<Host>,
    mail: collections::BTreeMap<(u64, u64), (usize, u64, Message)>,
    posted: u64,
    cut: Vec<(u64, u64, usize)>,
    outages: Vec<(u64, u64)>,
    lease: (u64, u64, u64),
    slots: Vec<budget::Slot>,
    naive: Vec<naive::Naive>,
    settled: Option<u64>,
    now: u64,
    turn: u64,
    is_calm: bool,
    pace: i64,
    /// What has come of it so far.
    pub tally: Tally,
}

impl World {
    /// Creates a world of `count` hosts in as many availability zones.
    pub fn new(seed: u64, count: usize, faults: Faults) -> Self {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let timing = budget::Timing {
            report_interval: time::Duration::from_millis(20),
            ask_timeout: time::Duration::from_millis(50),
            horizon: time::Duration::from_millis(30),
            loan_ttl: time::Duration::from_millis(300),
            reading_ttl: LEASE,
            max_pause: time::Duration::from_millis(600),
            max_drift_ppm: DRIFT,
        };
        // Clocks differ in some worlds, and in others all run as fast or slow as they may.
        let pace = rng.random_range(-1..=1);
        let reserve = unit::Percent::from_basis_points(2_500 * rng.random_range(0..=4));
        let zones = u32::try_from(count).expect("few hosts");
        let plan = budget::Reserve {
            percent: reserve,
            zones,
            slots: 2,
        };
        let mut world = Self {
            rng,
            faults,
            timing,
            plan,
            hosts: Vec::new(),
            mail: collections::BTreeMap::new(),
            posted: 0,
            cut: Vec::new(),
            outages: Vec::new(),
            lease: (0, 0, 0),
            slots: Vec::new(),
            naive: BUDGETS
                .iter()
                .map(|(r, b)| naive::Naive::new(*r, *b))
                .collect(),
            settled: None,
            now: 0,
            turn: 0,
            is_calm: false,
            pace,
            tally: Tally::default(),
        };
        for index in 0..count {
            let host = world.host(index, 0);
            world.hosts.push(host);
        }
        world
    }

    /// Runs for a true time in milliseconds, with a change of the records at `change`.
    pub fn run(&mut self, millis: u64, change: Option<u64>) -> Tally {
        if self.faults == Faults::All {
            self.plan_faults(millis);
        }
        if let Some(change) = change {
            self.announce(change * STEP);
        }
        for step in 0..millis {
            self.now = step * STEP;
            self.deliver();
            self.settle();
            for index in 0..self.hosts.len() {
                self.disturb(index);
                if self.is_running(index) {
                    self.act(index);
                }
            }
            self.sweep();
        }
        self.tally
    }

    fn host(&mut self, index: usize, life: u64) -> Host {
        let bound = i64::from(DRIFT);
        let skew = match self.pace {
            0 => self.rng.random_range(-bound..=bound),
            pace => pace * bound,
        };
        let rate = 1_000_000_u64.saturating_add_signed(skew);
        let clock = (rate, self.rng.random_range(0..1_000_000_000));
        let now = local(clock, self.now);
        let holder = name::Incarnation::new(&format!("h{index}-{life}")).expect("name");
        let host = name::Host::new(&format!("h{index}")).expect("name");
        let zone = name::Zone::new(&format!("z{index}")).expect("name");
        let mut spender = budget::Limiter::new(holder.clone(), self.timing, now);
        let is_new = self.settled.is_some();
        let sizes = if is_new { CHANGED } else { BUDGETS };
        for (id, (rate, burst)) in sizes.iter().enumerate() {
            spender.set_limit(id as u64, whole(*rate, *burst), now);
        }
        Host {
            life,
            clock,
            holder: spender,
            claim: budget::Claim::new(host, holder, zone, 1),
            owner: None,
            thaw: 0,
            gone: None,
            change: u64::MAX,
            version: u8::from(is_new),
            renewal: self.now + self.rng.random_range(0..100_000),
            asked: false,
            hint: 0,
            load: 0,
        }
    }

    fn plan_faults(&mut self, millis: u64) {
        let end = millis * STEP;
        for _ in 0..3 {
            let from = self.rng.random_range(0..end);
            let until = from + self.rng.random_range(0..2_000_000);
            let host = self.rng.random_range(0..self.hosts.len());
            self.cut.push((from, until, host));
        }
        let from = self.rng.random_range(0..end);
        let until = from + self.rng.random_range(0..3_000_000);
        self.outages.push((from, until));
    }

    fn announce(&mut self, at: u64) {
        let mut last = at;
        for host in &mut self.hosts {
            host.change = at + self.rng.random_range(0..1_500_000);
            last = last.max(host.change);
        }
        for (naive, (old, new)) in self.naive.iter_mut().zip(BUDGETS.iter().zip(CHANGED)) {
            naive.resize(old.0.max(new.0), old.1.max(new.1), 0);
        }
        // After the last host's change, older loans live on for one grant's life.
        self.settled = Some(last + 400_000);
    }

    fn settle(&mut self) {
        if self.settled.is_none_or(|at| self.now < at) {
            return;
        }
        self.settled = Some(u64::MAX);
        for (naive, (rate, burst)) in self.naive.iter_mut().zip(CHANGED) {
            naive.resize(rate, burst, self.now);
        }
    }

    fn is_running(&self, index: usize) -> bool {
        self.hosts[index].gone.is_none() && self.now >= self.hosts[index].thaw
    }

    /// Kills, freezes, and replaces hosts.
    fn disturb(&mut self, index: usize) {
        if self.faults == Faults::None {
            return;
        }
        if self.hosts[index]
            .gone
            .is_some_and(|gone| self.now > gone + 300_000)
        {
            let life = self.hosts[index].life + 1;
            let change = self.hosts[index].change;
            let mut host = self.host(index, life);
            host.change = change;
            self.hosts[index] = host;
        }
        if !self.is_running(index) {
            return;
        }
        match self.rng.random_range(0..6_000) {
            0 => self.hosts[index].gone = Some(self.now),
            1..=3 => self.hosts[index].thaw = self.now + self.rng.random_range(0..2_500_000),
            _ => {}
        }
    }

    fn local(&self, index: usize) -> instant::Instant {
        local(self.hosts[index].clock, self.now)
    }

    fn act(&mut self, index: usize) {
        let now = self.local(index);
        if self.hosts[index].holder.check_pause(now) {
            self.hear(index, budget::Event::Forfeited, now);
        }
        self.change(index, now);
        self.claim(index, now);
        self.renew(index, now);
        if self.rng.random_range(0..20) == 0 {
            self.hosts[index].hint = usize::try_from(self.lease.1).expect("index");
        }
        let hint = self.hosts[index].hint;
        if let Some(ask) = self.hosts[index].holder.poll(now) {
            self.post(index, hint, &Message::Ask(ask));
        }
        self.arrive(index, now);
    }

    fn change(&mut self, index: usize, now: instant::Instant) {
        let host = &mut self.hosts[index];
        if host.version > 0 || self.now < host.change {
            return;
        }
        host.version = 1;
        for (id, (rate, burst)) in CHANGED.iter().enumerate() {
            host.holder.set_limit(id as u64, whole(*rate, *burst), now);
            if let Some(owner) = &mut host.owner {
                owner.set_limit(id as u64, whole(*rate, *burst), now);
            }
        }
    }

    fn hear(&mut self, index: usize, event: budget::Event<'_>, now: instant::Instant) {
        let host = &mut self.hosts[index];
        host.claim.on_event(event, &self.plan, &self.timing, now);
        host.asked = false;
    }

    fn claim(&mut self, index: usize, now: instant::Instant) {
        if self.hosts[index].asked {
            return;
        }
        match self.hosts[index].claim.next_step(now) {
            budget::Step::Read => self.call(index, Call::Read),
            budget::Step::Write(slots) => self.call(index, Call::Write(slots)),
            budget::Step::Spend(share) => {
                self.hosts[index].holder.set_share(share, now);
                self.tally.funded += 1;
            }
            budget::Step::Wait(_) | budget::Step::Done => {}
        }
    }

    fn call(&mut self, index: usize, call: Call) {
        self.hosts[index].asked = true;
        self.post(index, index, &Message::Store(index, call));
    }

    fn renew(&mut self, index: usize, now: instant::Instant) {
        if self.now < self.hosts[index].renewal {
            return;
        }
        self.hosts[index].renewal = self.now + 120_000;
        let epoch = self.hosts[index].owner.as_ref();
        let epoch = epoch.map_or(0, |owner| owner.term().epoch);
        self.post(
            index,
            index,
            &Message::Store(index, Call::Renew { sent: now, epoch }),
        );
    }

    fn arrive(&mut self, index: usize, now: instant::Instant) {
        if self.faults == Faults::None {
            let odds = if index == 0 { 40 } else { 10 };
            if self.rng.random_range(0..1_000) < odds {
                self.request(index, 0, now);
            }
            return;
        }
        self.pace(index);
        for _ in 0..self.hosts[index].load {
            let account = self.rng.random_range(0..2);
            self.request(index, account, now);
        }
    }

    /// Lets load come in waves: all hosts idle together, then draw the budgets dry together.
    fn pace(&mut self, index: usize) {
        if self.now >= self.turn {
            self.is_calm = !self.is_calm;
            let span = if self.is_calm { 900_000 } else { 700_000 };
            self.turn = self.now + self.rng.random_range(100_000..span);
        }
        if self.rng.random_range(0..60) == 0 {
            let top = if self.is_calm { 1 } else { 6 };
            self.hosts[index].load = self.rng.random_range(0..top);
        }
    }

    /// One request takes a token of its account, and sometimes tokens of the link.
    fn request(&mut self, index: usize, account: usize, now: instant::Instant) {
        self.tally.arrived += 1;
        let mut charges = vec![charge(account, 1)];
        if self.faults == Faults::All && self.rng.random_range(0..3) == 0 {
            charges.push(charge(2, self.rng.random_range(1..4)));
        }
        let verdict = self.hosts[index]
            .holder
            .admit(&charges, record::Shortage::Ask, now);
        if verdict != budget::Verdict::Admit {
            return;
        }
        self.tally.admitted += 1;
        for charge in charges {
            let tokens = charge.amount.as_micros() / 1_000_000;
            if !self.naive[charge.index].take(tokens, self.now) {
                self.tally.excess += 1;
            }
        }
    }

    fn post(&mut self, from: usize, to: usize, message: &Message) {
        let is_faulty = self.faults == Faults::All;
        let copies = match self.rng.random_range(0..20) {
            0 if is_faulty => 0,
            1 if is_faulty => 2,
            _ => 1,
        };
        if from != to && (self.is_cut(from) || self.is_cut(to)) {
            return;
        }
        let life = if from == to {
            self.hosts[to].life
        } else {
            u64::MAX
        };
        for _ in 0..copies {
            let delay = match self.rng.random_range(0..40) {
                0 if is_faulty => self.rng.random_range(0..1_500_000),
                _ => self.rng.random_range(500..8_000),
            };
            self.posted += 1;
            let key = (self.now + delay, self.posted);
            self.mail.insert(key, (to, life, message.clone()));
        }
    }

    fn is_cut(&self, host: usize) -> bool {
        let mut cuts = self.cut.iter();
        cuts.any(|(from, until, cut)| *cut == host && (*from..*until).contains(&self.now))
    }

    fn deliver(&mut self) {
        let due: Vec<(u64, u64)> = self.mail.range(..(self.now, 0)).map(|(k, _)| *k).collect();
        for key in due {
            let Some((to, life, message)) = self.mail.remove(&key) else {
                continue;
            };
            if let Message::Store(from, call) = message {
                self.serve(from, life, call);
                continue;
            }
            if !self.is_running(to) {
                // A frozen host takes its mail after the thaw.
                if self.hosts[to].gone.is_none() {
                    let late = (self.hosts[to].thaw + STEP, key.1);
                    self.mail.insert(late, (to, life, message));
                }
                continue;
            }
            if life == u64::MAX || life == self.hosts[to].life {
                self.take(to, message);
            }
        }
    }

    fn take(&mut self, to: usize, message: Message) {
        let now = self.local(to);
        if self.hosts[to].holder.check_pause(now) {
            self.hear(to, budget::Event::Forfeited, now);
        }
        match message {
            Message::Ask(ask) => {
                let owner = self.hosts[to].owner.as_mut();
                let answer = owner.and_then(|owner| owner.answer(&ask, now));
                let back = ask.holder.as_str()[1..].split('-').next();
                let back = back.and_then(|text| text.parse().ok()).expect("index");
                if let Some(answer) = answer {
                    self.post(to, back, &Message::Answer(answer));
                }
            }
            Message::Answer(answer) => self.hosts[to].holder.apply_reply(&answer, now),
            Message::Store(..) => {}
            Message::Reply(reply) => self.reply(to, reply, now),
        }
    }

    fn reply(&mut self, to: usize, reply: Reply, now: instant::Instant) {
        match reply {
            Reply::Renewed { tenure, slots } => self.own(to, tenure, &slots, now),
            // An answer that comes twice or late finds no call waiting.
            _ if !self.hosts[to].asked => {}
            Reply::Read(slots) => self.hear(to, budget::Event::Read(&slots), now),
            Reply::Written => self.hear(to, budget::Event::Written, now),
            Reply::Conflict => self.hear(to, budget::Event::Conflict, now),
            Reply::Lost => self.hear(to, budget::Event::Unanswered, now),
        }
    }

    fn own(
        &mut self,
        to: usize,
        tenure: lease::Term,
        slots: &[budget::Slot],
        now: instant::Instant,
    ) {
        let claimed = budget::Slot::total_share(slots);
        let limit = budget::Share::of_slot(self.plan.percent, 1);
        let reading = budget::Reading {
            claimed,
            limit: limit.max(claimed),
            until: tenure.until,
        };
        let host = &mut self.hosts[to];
        let known = host.owner.as_ref().map_or(0, |owner| owner.term().epoch);
        if tenure.epoch < known {
            return;
        }
        if tenure.epoch == known {
            let owner = host.owner.as_mut().expect("owner");
            // Renewals may be answered out of order.
            if owner.term().until < tenure.until {
                owner.renew(tenure, reading, now);
            }
            return;
        }
        self.tally.owners += 1;
        let mut owner = budget::Owner::new(tenure, reading, self.timing);
        let sizes = if host.version > 0 { CHANGED } else { BUDGETS };
        for (id, (rate, burst)) in sizes.iter().enumerate() {
            owner.set_limit(id as u64, whole(*rate, *burst), now);
        }
        host.owner = Some(owner);
    }

    /// Serves a call to the table; an outage may eat the call or its answer.
    fn serve(&mut self, from: usize, life: u64, call: Call) {
        let is_down = self
            .outages
            .iter()
            .any(|(f, u)| (*f..*u).contains(&self.now));
        let is_lossy = self.faults == Faults::All && self.rng.random_range(0..10) == 0;
        let is_claim = !matches!(call, Call::Renew { .. });
        let answer = if is_down || self.is_cut(from) {
            None
        } else {
            self.execute(from, life, call)
        };
        let reply = if is_lossy { None } else { answer };
        match reply {
            Some(reply) => self.post(from, from, &Message::Reply(reply)),
            None if is_claim => self.post(from, from, &Message::Reply(Reply::Lost)),
            None => {}
        }
    }

    fn execute(&mut self, from: usize, life: u64, call: Call) -> Option<Reply> {
        match call {
            Call::Renew { sent, epoch } => {
                let (held, holder, renewed) = self.lease;
                let lapse = u64::try_from(LEASE.as_micros()).expect("short");
                let is_own = epoch == held && holder == from as u64 && epoch > 0;
                if !is_own && self.now < renewed + lapse && held > 0 {
                    return None;
                }
                let is_lapsed = self.now >= renewed + lapse;
                let epoch = if is_own && !is_lapsed { held } else { held + 1 };
                self.lease = (epoch, from as u64, self.now);
                let until = sent + self.timing.shorten_for_drift(LEASE);
                let is_same = self.hosts[from].life == life;
                is_same.then(|| Reply::Renewed {
                    tenure: lease::Term::new(epoch, until),
                    slots: self.slots.clone(),
                })
            }
            Call::Read => Some(Reply::Read(self.slots.clone())),
            Call::Write(slots) => {
                let is_free = |slot: &budget::Slot| {
                    let mut rows = self.slots.iter();
                    !rows.any(|row| row.zone == slot.zone && row.number == slot.number)
                };
                if !slots.iter().all(is_free) {
                    return Some(Reply::Conflict);
                }
                self.slots.extend(slots);
                Some(Reply::Written)
            }
        }
    }

    /// Frees the slots of lives that the platform's list has dropped for long enough.
    fn sweep(&mut self) {
        let bound = self.timing.lengthen_for_drift(self.timing.max_pause);
        let bound = u64::try_from(bound.as_micros()).expect("short");
        let hosts = &self.hosts;
        let now = self.now;
        self.slots.retain(|slot| {
            let index: usize = slot.host.as_str()[1..].parse().expect("index");
            let host = &hosts[index];
            let is_current = slot.holder.as_str() == format!("h{index}-{}", host.life);
            // Replaced 300 ms after the end; the rest of the bound is waited for here.
            let ended = host.gone.filter(|_gone| is_current);
            let is_dead = ended.is_some_and(|gone| now > gone + bound);
            let is_old = !is_current && now % 1_000_000 < STEP && now > 2 * bound;
            !(is_dead || is_old)
        });
    }
}

fn local(clock: (u64, u64), now: u64) -> instant::Instant {
    let scaled = u128::from(now) * u128::from(clock.0) / 1_000_000;
    instant::Instant::from_micros(clock.1 + u64::try_from(scaled).expect("short"))
}

fn whole(rate: u64, burst: u64) -> budget::Limit {
    budget::Limit::of_requests(unit::Rate::per_second(rate), burst)
}

fn charge(line: usize, tokens: u64) -> budget::Charge {
    budget::Charge {
        index: line,
        amount: budget::Amount::from_tokens(tokens),
    }
}
