//! The holder of lent tokens and reserve slots in an entry process.

use std::collections;
use std::time;

use super::amount;
use super::bucket;
use super::limit;
use super::message;
use super::share;
use super::timing;
use crate::instant;
use crate::name;
use crate::record;

const MICROS_PER_SECOND: u64 = 1_000_000;
/// Weight of the newest interval in the demand estimate, as one part in so many.
const SMOOTHING: u64 = 4;
/// Part of a slot's burst, as one part in so many, that unused tokens may pass through.
const PASSING: u64 = 4;
/// Time for which a budget counts as needy after the owner called it so.
const NEEDY: time::Duration = time::Duration::from_secs(1);
/// Longest wait that a refusal suggests.
const MAX_RETRY: time::Duration = time::Duration::from_secs(5);

/// Tokens that one request needs of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    /// Index of the budget, as [`Limiter::index`] gives it.
    pub index: usize,
    /// Tokens that are needed.
    pub amount: amount::Amount,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All budgets have been charged.
    Admit,
    /// Nothing was charged; the owner's next answer or time may bring the tokens.
    Wait {
        /// Time after which this host's own slots hold the tokens, if nothing else takes them.
        retry_after: time::Duration,
    },
    /// Nothing was charged and no tokens are in sight.
    Refuse {
        /// Time after which trying again may help.
        retry_after: time::Duration,
    },
}

/// An entry process's part in all budgets.
#[derive(Clone, Debug)]
pub struct Limiter {
    name: name::Incarnation,
    timing: timing::Timing,
    share: share::Share,
    lines: Vec<Line>,
    index: collections::HashMap<u64, usize>,
    listed: Vec<usize>,
    epoch: u64,
    seq: u64,
    pending: Option<instant::Instant>,
    ticked: instant::Instant,
    asked: instant::Instant,
    urgent: Option<instant::Instant>,
    trip: time::Duration,
    seen: instant::Instant,
    freezes: u64,
    is_cut: bool,
}

#[derive(Clone, Debug)]
struct Line {
    budget: u64,
    whole: limit::Limit,
    slot: bucket::Bucket,
    freed: amount::Amount,
    taken: amount::Amount,
    held: amount::Amount,
    until: instant::Instant,
    spent: amount::Amount,
    wanted: amount::Amount,
    missed: amount::Amount,
    demand: amount::Amount,
    dry: instant::Instant,
    is_over: bool,
    /// Tokens of the last report's misses and wants.
    asked: amount::Amount,
    /// Instant before which a want alone is not reported, as the last was not met.
    rest: instant::Instant,
    needy: instant::Instant,
    is_scarce: bool,
    is_listed: bool,
}

impl Limiter {
    /// Creates a holder without slots and without tokens.
    #[must_use]
    pub fn new(name: name::Incarnation, timing: timing::Timing, now: instant::Instant) -> Self {
        Self {
            name,
            timing,
            share: share::Share::NONE,
            lines: Vec::new(),
            index: collections::HashMap::new(),
            listed: Vec::new(),
            epoch: 0,
            seq: 0,
            pending: None,
            ticked: now,
            asked: now,
            urgent: Some(now),
            trip: time::Duration::ZERO,
            seen: now,
            freezes: 0,
            is_cut: true,
        }
    }

    /// Returns the sum of the shares of the slots that are spent from.
    #[must_use]
    pub const fn share(&self) -> share::Share {
        self.share
    }

    /// Returns how often the process was frozen for too long and gave up its slots.
    #[must_use]
    pub const fn pauses(&self) -> u64 {
        self.freezes
    }

    /// Returns the index of a budget.
    #[must_use]
    pub fn index(&self, budget: u64) -> Option<usize> {
        self.index.get(&budget).copied()
    }

    /// Puts a budget's rate and burst in force and returns its index.
    pub fn set_limit(&mut self, budget: u64, whole: limit::Limit, now: instant::Instant) -> usize {
        let part = self.share.of(whole, &self.timing);
        let next = self.lines.len();
        let index = *self.index.entry(budget).or_insert(next);
        if index == next {
            self.lines.push(Line::new(budget, now));
        }
        let line = &mut self.lines[index];
        line.whole = whole;
        line.slot.resize(part, now);
        index
    }

    /// Begins to spend from slots with this sum of shares, which start without tokens.
    ///
    /// The slots must have been claimed for as long as [`timing::Timing::settling_delay`] says.
    pub fn set_share(&mut self, share: share::Share, now: instant::Instant) {
        self.check_pause(now);
        self.share = share;
        for line in &mut self.lines {
            let part = self.share.of(line.whole, &self.timing);
            line.slot.resize(part, now);
        }
    }

    /// Notes that the process is running, and returns whether it was frozen for too long.
    ///
    /// It then gives up its slots, as it cannot know whether they were passed on.
    pub fn check_pause(&mut self, now: instant::Instant) -> bool {
        let gap = now.since(self.seen);
        self.seen = self.seen.max(now);
        if gap < self.timing.max_pause {
            return false;
        }
        self.freezes += 1;
        self.share = share::Share::NONE;
        for line in &mut self.lines {
            line.slot.resize(limit::Limit::ZERO, now);
        }
        true
    }

    /// Charges a request to all its budgets, or to none of them.
    ///
    /// `now` must be read directly before the call, after any wait.
    pub fn admit(
        &mut self,
        charges: &[Charge],
        shortage: record::Shortage,
        now: instant::Instant,
    ) -> Verdict {
        for charge in charges {
            let line = &mut self.lines[charge.index];
            line.wanted = line.wanted.saturating_add(charge.amount);
        }
        self.decide(charges, shortage, now)
    }

    /// Charges a request that has waited for the owner, or refuses it.
    pub fn retry(&mut self, charges: &[Charge], now: instant::Instant) -> Verdict {
        self.decide(charges, record::Shortage::Ask, now)
    }

    fn decide(
        &mut self,
        charges: &[Charge],
        shortage: record::Shortage,
        now: instant::Instant,
    ) -> Verdict {
        self.check_pause(now);
        for charge in charges {
            self.list(charge.index);
            self.lines[charge.index].refill(now);
        }
        let short = charges.iter().find(|charge| {
            let same = charges.iter().filter(|other| other.index == charge.index);
            let need = same.fold(amount::Amount::ZERO, |sum, other| {
                sum.saturating_add(other.amount)
            });
            self.lines[charge.index].has_less(need, now)
        });
        let Some(short) = short.copied() else {
            for charge in charges {
                self.lines[charge.index].spend(charge.amount, now);
            }
            return Verdict::Admit;
        };
        self.fall_short(short, shortage, now)
    }

    fn fall_short(
        &mut self,
        short: Charge,
        shortage: record::Shortage,
        now: instant::Instant,
    ) -> Verdict {
        let is_cut = self.is_cut;
        let line = &mut self.lines[short.index];
        let is_dry = now < line.dry;
        if is_dry && line.is_over {
            return Verdict::Refuse {
                retry_after: line.dry.since(now),
            };
        }
        line.missed = line.missed.saturating_add(short.amount);
        let retry_after = line.retry_after(short.amount);
        let due = line.dry.max(now);
        self.urgent = Some(self.urgent.map_or(due, |urgent| urgent.min(due)));
        match shortage {
            record::Shortage::Ask if !is_cut || retry_after < MAX_RETRY => {
                Verdict::Wait { retry_after }
            }
            record::Shortage::Ask | record::Shortage::Refuse => Verdict::Refuse { retry_after },
        }
    }

    /// Returns the next ask, if one is due.
    pub fn poll(&mut self, now: instant::Instant) -> Option<message::Request> {
        self.check_pause(now);
        let age = self.pending.map(|sent| now.since(sent));
        if age.is_some_and(|age| age < self.timing.ask_timeout) {
            return None;
        }
        self.is_cut |= age.is_some();
        let is_urgent = self.urgent.is_some_and(|due| due <= now);
        let is_tick = now.since(self.ticked) >= self.timing.report_interval;
        if !is_tick && !is_urgent {
            return None;
        }
        if is_tick {
            self.tick(now);
        }
        let reports = self.reports(is_tick, now);
        let is_idle = now.since(self.asked) < self.timing.ask_timeout;
        if reports.is_empty() && is_idle && !is_urgent {
            return None;
        }
        Some(self.ask(reports, now))
    }

    /// Brings the estimates of demand up to date and forgets the budgets out of use.
    fn tick(&mut self, now: instant::Instant) {
        let elapsed = now.since(self.ticked);
        self.ticked = now;
        let lines = &mut self.lines;
        self.listed.retain(|index| {
            let line = &mut lines[*index];
            line.estimate(elapsed);
            line.is_listed = line.is_active(now);
            line.is_listed
        });
    }

    /// Returns the reports that are due, between ticks only those for requests that wait.
    fn reports(&mut self, is_tick: bool, now: instant::Instant) -> Vec<message::Report> {
        let ahead = self.timing.horizon + self.trip;
        let lines = &mut self.lines;
        let reports = self.listed.iter().filter_map(|index| {
            let line = &mut lines[*index];
            let is_due = is_tick || line.missed > amount::Amount::ZERO;
            is_due
                .then(|| line.report(ahead, &self.timing, now))
                .flatten()
        });
        reports.collect()
    }

    fn ask(&mut self, reports: Vec<message::Report>, now: instant::Instant) -> message::Request {
        self.asked = now;
        self.pending = Some(now);
        self.urgent = None;
        self.seq += 1;
        message::Request {
            holder: self.name.clone(),
            epoch: self.epoch,
            seq: self.seq,
            reports,
        }
    }

    /// Banks the answer to the newest ask; any other answer is ignored.
    pub fn apply_reply(&mut self, answer: &message::Reply, now: instant::Instant) {
        self.check_pause(now);
        if answer.seq != self.seq || answer.epoch < self.epoch {
            return;
        }
        let Some(sent) = self.pending.take() else {
            return;
        };
        self.is_cut = false;
        self.trip = now.since(sent);
        if answer.epoch > self.epoch {
            self.join(answer.epoch, now);
            return;
        }
        for grant in &answer.grants {
            let Some(index) = self.index(grant.budget) else {
                continue;
            };
            self.lines[index].bank(grant, sent, &self.timing, now);
        }
        for need in &answer.low {
            let Some(index) = self.index(need.budget) else {
                continue;
            };
            self.lines[index].needy = now + NEEDY;
            self.lines[index].is_scarce = need.is_scarce;
            self.list(index);
        }
    }

    /// Follows the owner of a new epoch, who knows nothing of earlier counts.
    fn join(&mut self, epoch: u64, now: instant::Instant) {
        self.epoch = epoch;
        self.urgent = Some(now);
        for line in &mut self.lines {
            line.held = amount::Amount::ZERO;
            line.spent = amount::Amount::ZERO;
            line.freed = amount::Amount::ZERO;
            line.taken = amount::Amount::ZERO;
            line.dry = instant::Instant::ORIGIN;
            line.is_over = false;
        }
    }

    fn list(&mut self, index: usize) {
        let line = &mut self.lines[index];
        if !line.is_listed {
            line.is_listed = true;
            self.listed.push(index);
        }
    }
}

impl Line {
    fn new(budget: u64, now: instant::Instant) -> Self {
        Self {
            budget,
            whole: limit::Limit::ZERO,
            slot: bucket::Bucket::new(limit::Limit::ZERO, now),
            freed: amount::Amount::ZERO,
            taken: amount::Amount::ZERO,
            held: amount::Amount::ZERO,
            until: instant::Instant::ORIGIN,
            spent: amount::Amount::ZERO,
            wanted: amount::Amount::ZERO,
            missed: amount::Amount::ZERO,
            demand: amount::Amount::ZERO,
            dry: instant::Instant::ORIGIN,
            is_over: false,
            asked: amount::Amount::ZERO,
            rest: instant::Instant::ORIGIN,
            needy: instant::Instant::ORIGIN,
            is_scarce: false,
            is_listed: false,
        }
    }

    /// Refills the slot; tokens on their way to the owner still count against its burst.
    fn refill(&mut self, now: instant::Instant) {
        let passing = self.freed.saturating_sub(self.taken);
        let cap = self.slot.limit().burst.saturating_sub(passing);
        self.slot.refill(cap, now);
    }

    fn lent(&self, now: instant::Instant) -> amount::Amount {
        if now < self.until {
            self.held
        } else {
            amount::Amount::ZERO
        }
    }

    fn has_less(&self, need: amount::Amount, now: instant::Instant) -> bool {
        self.lent(now).saturating_add(self.slot.level()) < need
    }

    /// Spends lent tokens first, since they expire.
    fn spend(&mut self, amount: amount::Amount, now: instant::Instant) {
        let lent = self.lent(now).min(amount);
        self.held = self.held.saturating_sub(lent);
        self.spent = self.spent.saturating_add(lent);
        self.slot.take(amount.saturating_sub(lent));
    }

    fn retry_after(&self, amount: amount::Amount) -> time::Duration {
        let missing = amount.saturating_sub(self.held);
        time::Duration::from_micros(self.slot.wait(missing)).min(MAX_RETRY)
    }

    fn is_active(&self, now: instant::Instant) -> bool {
        self.held > amount::Amount::ZERO
            || self.wanted > amount::Amount::ZERO
            || self.missed > amount::Amount::ZERO
            || self.demand > amount::Amount::ZERO
            || now < self.needy
    }

    /// Returns a report, if there is something to tell.
    fn report(
        &mut self,
        ahead: time::Duration,
        timing: &timing::Timing,
        now: instant::Instant,
    ) -> Option<message::Report> {
        self.refill(now);
        self.held = self.lent(now);
        let need = self.need(ahead, now);
        let before = (self.held, self.freed);
        self.pass_on(need, now);
        self.hand_back(need, now);
        let has_given = before != (self.held, self.freed);
        let have = self.held.saturating_add(self.slot.level());
        let is_lapsing =
            self.held > amount::Amount::ZERO && self.until.since(now) < timing.loan_ttl / 2;
        let is_short = have < need && now >= self.rest;
        let is_missing = self.missed > amount::Amount::ZERO;
        if !(has_given || is_lapsing || is_short || is_missing) {
            return None;
        }
        let missed = self.missed.saturating_sub(have);
        let have = have.saturating_sub(self.missed);
        let want = need.scaled(3, 2).saturating_sub(have);
        self.asked = missed.saturating_add(want);
        Some(message::Report {
            budget: self.budget,
            unspent: self.held,
            spent: self.spent,
            passed_on: self.freed,
            missing: missed,
            want,
            demand: self.demand,
        })
    }

    fn estimate(&mut self, elapsed: time::Duration) {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let seen = self.wanted.scaled(MICROS_PER_SECOND, micros.max(1));
        let kept = self.demand.scaled(SMOOTHING - 1, SMOOTHING);
        self.demand = kept.saturating_add(seen.scaled(1, SMOOTHING));
        if self.demand < amount::Amount::TOKEN.scaled(1, 10) {
            self.demand = amount::Amount::ZERO;
        }
        self.wanted = amount::Amount::ZERO;
    }

    /// Returns the tokens that should be in hand to serve the time ahead.
    ///
    /// The allowance for chance is smaller while the owner has next to nothing left.
    fn need(&self, ahead: time::Duration, now: instant::Instant) -> amount::Amount {
        let micros = u64::try_from(ahead.as_micros()).unwrap_or(u64::MAX);
        let mean = self.demand.scaled(micros, MICROS_PER_SECOND);
        let tokens = mean.as_micros() / amount::Amount::TOKEN.as_micros();
        let spread = if mean == amount::Amount::ZERO {
            0
        } else if self.is_scarce(now) {
            tokens.isqrt()
        } else {
            2 * tokens.isqrt() + 1
        };
        mean.saturating_add(amount::Amount::from_tokens(spread))
    }

    fn is_scarce(&self, now: instant::Instant) -> bool {
        self.is_scarce && now < self.needy
    }

    /// Passes the slot's tokens beyond the need on to the owner, while others need them.
    ///
    /// The larger part of the slot's burst stays, for the time of a cut.
    fn pass_on(&mut self, need: amount::Amount, now: instant::Instant) {
        if now >= self.needy {
            return;
        }
        let burst = self.slot.limit().burst;
        let room = burst.scaled(1, PASSING);
        let passing = self.freed.saturating_sub(self.taken);
        let keep = burst.saturating_sub(room).max(need);
        let unused = self.slot.level().saturating_sub(keep);
        let freed = self.slot.take(unused.min(room.saturating_sub(passing)));
        self.freed = self.freed.saturating_add(freed);
    }

    /// Gives lent tokens beyond the need up; the owner sees it from the counts.
    fn hand_back(&mut self, need: amount::Amount, now: instant::Instant) {
        let keep = if self.is_scarce(now) {
            need
        } else {
            need.scaled(5, 2)
        };
        self.held = self.held.min(keep.max(self.missed));
    }

    fn bank(
        &mut self,
        grant: &message::Grant,
        sent: instant::Instant,
        timing: &timing::Timing,
        now: instant::Instant,
    ) {
        // The owner may have let a loan expire that had expired here, too.
        self.held = self.lent(now).saturating_add(grant.tokens);
        let life = timing.shorten_for_drift(time::Duration::from_micros(grant.ttl_micros));
        if life > time::Duration::ZERO {
            self.until = self.until.max(sent + life);
        }
        self.taken = self.taken.max(grant.received);
        self.missed = amount::Amount::ZERO;
        if grant.tokens < self.asked {
            self.rest = now + timing.ask_timeout;
        }
        self.dry = now + time::Duration::from_micros(grant.retry_micros);
        self.is_over = grant.is_oversubscribed;
    }
}
