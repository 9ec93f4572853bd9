//! Rate limiter of one entry process, which spends lent tokens and reserve slots.

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
/// Divisor of the newest interval's weight in the moving average of demand.
const DEMAND_EWMA_DIVISOR: u64 = 4;
/// Divisor of a slot's burst that bounds the unused tokens in transit to the owner.
const PASS_ON_DIVISOR: u64 = 4;
/// Time for which a budget counts as low after the owner reported it.
const LOW_BUDGET_TTL: time::Duration = time::Duration::from_secs(1);
/// Longest retry delay that a verdict suggests.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(5);

/// The tokens that one request needs of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    /// Index of the budget, from [`Limiter::index`].
    pub index: usize,
    /// Tokens needed.
    pub amount: amount::Amount,
}

/// The admission decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All budgets were charged.
    Admit,
    /// Nothing was charged; tokens may arrive with the owner's next reply or with time.
    Wait {
        /// Time after which this host's slots hold the tokens, if no other request takes them.
        retry_after: time::Duration,
    },
    /// Nothing was charged, and no tokens are expected soon.
    Refuse {
        /// Time after which a retry may succeed.
        retry_after: time::Duration,
    },
}

/// The token buckets and lent tokens of all budgets in one entry process.
#[derive(Clone, Debug)]
pub struct Limiter {
    incarnation: name::Incarnation,
    timing: timing::Timing,
    share: share::Share,
    balances: Vec<Balance>,
    index: collections::HashMap<u64, usize>,
    tracked: Vec<usize>,
    epoch: u64,
    seq: u64,
    pending_since: Option<instant::Instant>,
    updated_at: instant::Instant,
    requested_at: instant::Instant,
    urgent_at: Option<instant::Instant>,
    round_trip: time::Duration,
    last_active: instant::Instant,
    pauses: u64,
    is_disconnected: bool,
}

#[derive(Clone, Debug)]
struct Balance {
    id: u64,
    limit: limit::Limit,
    slot_bucket: bucket::Bucket,
    passed_on: amount::Amount,
    received: amount::Amount,
    unspent: amount::Amount,
    loan_end: instant::Instant,
    spent: amount::Amount,
    requested: amount::Amount,
    missing: amount::Amount,
    demand: amount::Amount,
    retry_at: instant::Instant,
    is_oversubscribed: bool,
    /// Missing and wanted tokens of the last report.
    reported_need: amount::Amount,
    /// Instant before which wanted tokens alone cause no report: the last grant was too small.
    quiet_until: instant::Instant,
    low_until: instant::Instant,
    is_scarce: bool,
    is_tracked: bool,
}

impl Limiter {
    /// Creates a limiter without slots and without tokens.
    #[must_use]
    pub fn new(
        incarnation: name::Incarnation,
        timing: timing::Timing,
        now: instant::Instant,
    ) -> Self {
        Self {
            incarnation,
            timing,
            share: share::Share::NONE,
            balances: Vec::new(),
            index: collections::HashMap::new(),
            tracked: Vec::new(),
            epoch: 0,
            seq: 0,
            pending_since: None,
            updated_at: now,
            requested_at: now,
            urgent_at: Some(now),
            round_trip: time::Duration::ZERO,
            last_active: now,
            pauses: 0,
            is_disconnected: true,
        }
    }

    /// Returns the sum of the shares of the slots in use.
    #[must_use]
    pub const fn share(&self) -> share::Share {
        self.share
    }

    /// Returns how often the process paused too long and gave up its slots.
    #[must_use]
    pub const fn pauses(&self) -> u64 {
        self.pauses
    }

    /// Returns the index of a budget, absent if it was never set.
    #[must_use]
    pub fn index(&self, budget: u64) -> Option<usize> {
        self.index.get(&budget).copied()
    }

    /// Sets the rate and burst of a budget, and returns its index.
    pub fn set_limit(&mut self, budget: u64, limit: limit::Limit, now: instant::Instant) -> usize {
        let slot_limit = self.share.of(limit, &self.timing);
        let next = self.balances.len();
        let index = *self.index.entry(budget).or_insert(next);
        if index == next {
            self.balances.push(Balance::new(budget, now));
        }
        let balance = &mut self.balances[index];
        balance.limit = limit;
        balance.slot_bucket.resize(slot_limit, now);
        index
    }

    /// Sets the sum of the shares of the slots to spend from, which start without tokens.
    ///
    /// The slots must have been claimed for at least [`timing::Timing::settling_delay`].
    pub fn set_share(&mut self, share: share::Share, now: instant::Instant) {
        self.check_pause(now);
        self.share = share;
        for balance in &mut self.balances {
            let slot_limit = self.share.of(balance.limit, &self.timing);
            balance.slot_bucket.resize(slot_limit, now);
        }
    }

    /// Records that the process is running, and returns whether it had paused too long.
    ///
    /// After such a pause the limiter gives up its slots, because another process may
    /// have claimed them meanwhile.
    pub fn check_pause(&mut self, now: instant::Instant) -> bool {
        let gap = now.since(self.last_active);
        self.last_active = self.last_active.max(now);
        if gap < self.timing.max_pause {
            return false;
        }
        self.pauses += 1;
        self.share = share::Share::NONE;
        for balance in &mut self.balances {
            balance.slot_bucket.resize(limit::Limit::ZERO, now);
        }
        true
    }

    /// Charges a request to all its budgets, or to none.
    ///
    /// Read `now` directly before the call, after any wait: it reveals a pause.
    pub fn admit(
        &mut self,
        charges: &[Charge],
        shortage: record::Shortage,
        now: instant::Instant,
    ) -> Verdict {
        for charge in charges {
            let balance = &mut self.balances[charge.index];
            balance.requested = balance.requested.saturating_add(charge.amount);
        }
        self.try_charge(charges, shortage, now)
    }

    /// Charges a request that waited for the owner's reply, as [`Limiter::admit`] does.
    pub fn retry(&mut self, charges: &[Charge], now: instant::Instant) -> Verdict {
        self.try_charge(charges, record::Shortage::Ask, now)
    }

    fn try_charge(
        &mut self,
        charges: &[Charge],
        shortage: record::Shortage,
        now: instant::Instant,
    ) -> Verdict {
        self.check_pause(now);
        for charge in charges {
            self.track(charge.index);
            self.balances[charge.index].refill(now);
        }
        let lacking = charges.iter().find(|charge| {
            let same = charges.iter().filter(|other| other.index == charge.index);
            let need = same.fold(amount::Amount::ZERO, |sum, other| {
                sum.saturating_add(other.amount)
            });
            self.balances[charge.index].lacks(need, now)
        });
        let Some(lacking) = lacking.copied() else {
            for charge in charges {
                self.balances[charge.index].spend(charge.amount, now);
            }
            return Verdict::Admit;
        };
        self.on_shortage(lacking, shortage, now)
    }

    fn on_shortage(
        &mut self,
        lacking: Charge,
        shortage: record::Shortage,
        now: instant::Instant,
    ) -> Verdict {
        let is_disconnected = self.is_disconnected;
        let balance = &mut self.balances[lacking.index];
        let is_before_retry = now < balance.retry_at;
        if is_before_retry && balance.is_oversubscribed {
            return Verdict::Refuse {
                retry_after: balance.retry_at.since(now),
            };
        }
        balance.missing = balance.missing.saturating_add(lacking.amount);
        let retry_after = balance.retry_after(lacking.amount);
        let due = balance.retry_at.max(now);
        self.urgent_at = Some(self.urgent_at.map_or(due, |urgent| urgent.min(due)));
        match shortage {
            record::Shortage::Ask if !is_disconnected || retry_after < MAX_RETRY_AFTER => {
                Verdict::Wait { retry_after }
            }
            record::Shortage::Ask | record::Shortage::Refuse => Verdict::Refuse { retry_after },
        }
    }

    /// Returns the next request to the owner, if one is due.
    pub fn poll(&mut self, now: instant::Instant) -> Option<message::Request> {
        self.check_pause(now);
        let age = self.pending_since.map(|sent| now.since(sent));
        if age.is_some_and(|age| age < self.timing.ask_timeout) {
            return None;
        }
        self.is_disconnected |= age.is_some();
        let is_urgent = self.urgent_at.is_some_and(|due| due <= now);
        let is_interval_over = now.since(self.updated_at) >= self.timing.report_interval;
        if !is_interval_over && !is_urgent {
            return None;
        }
        if is_interval_over {
            self.update_demand(now);
        }
        let reports = self.due_reports(is_interval_over, now);
        let is_recent = now.since(self.requested_at) < self.timing.ask_timeout;
        if reports.is_empty() && is_recent && !is_urgent {
            return None;
        }
        Some(self.new_request(reports, now))
    }

    /// Updates the demand estimates and stops tracking unused budgets.
    fn update_demand(&mut self, now: instant::Instant) {
        let elapsed = now.since(self.updated_at);
        self.updated_at = now;
        let balances = &mut self.balances;
        self.tracked.retain(|index| {
            let balance = &mut balances[*index];
            balance.update_demand(elapsed);
            balance.is_tracked = balance.is_active(now);
            balance.is_tracked
        });
    }

    /// Returns the due reports: between intervals only those of budgets with waiting requests.
    fn due_reports(
        &mut self,
        is_interval_over: bool,
        now: instant::Instant,
    ) -> Vec<message::Report> {
        let period = self.timing.horizon + self.round_trip;
        let balances = &mut self.balances;
        let reports = self.tracked.iter().filter_map(|index| {
            let balance = &mut balances[*index];
            let is_due = is_interval_over || balance.missing > amount::Amount::ZERO;
            is_due
                .then(|| balance.report(period, &self.timing, now))
                .flatten()
        });
        reports.collect()
    }

    fn new_request(
        &mut self,
        reports: Vec<message::Report>,
        now: instant::Instant,
    ) -> message::Request {
        self.requested_at = now;
        self.pending_since = Some(now);
        self.urgent_at = None;
        self.seq += 1;
        message::Request {
            limiter: self.incarnation.clone(),
            epoch: self.epoch,
            seq: self.seq,
            reports,
        }
    }

    /// Applies the reply to the newest request; any other reply is ignored.
    pub fn apply_reply(&mut self, reply: &message::Reply, now: instant::Instant) {
        self.check_pause(now);
        if reply.seq != self.seq || reply.epoch < self.epoch {
            return;
        }
        let Some(sent) = self.pending_since.take() else {
            return;
        };
        self.is_disconnected = false;
        self.round_trip = now.since(sent);
        if reply.epoch > self.epoch {
            self.start_epoch(reply.epoch, now);
            return;
        }
        for grant in &reply.grants {
            let Some(index) = self.index(grant.budget) else {
                continue;
            };
            self.balances[index].apply_grant(grant, sent, &self.timing, now);
        }
        for low in &reply.low {
            let Some(index) = self.index(low.budget) else {
                continue;
            };
            self.balances[index].low_until = now + LOW_BUDGET_TTL;
            self.balances[index].is_scarce = low.is_scarce;
            self.track(index);
        }
    }

    /// Resets all counts for the owner of a new epoch, which does not know the earlier ones.
    fn start_epoch(&mut self, epoch: u64, now: instant::Instant) {
        self.epoch = epoch;
        self.urgent_at = Some(now);
        for balance in &mut self.balances {
            balance.unspent = amount::Amount::ZERO;
            balance.spent = amount::Amount::ZERO;
            balance.passed_on = amount::Amount::ZERO;
            balance.received = amount::Amount::ZERO;
            balance.retry_at = instant::Instant::ORIGIN;
            balance.is_oversubscribed = false;
        }
    }

    fn track(&mut self, index: usize) {
        let balance = &mut self.balances[index];
        if !balance.is_tracked {
            balance.is_tracked = true;
            self.tracked.push(index);
        }
    }
}

impl Balance {
    fn new(id: u64, now: instant::Instant) -> Self {
        Self {
            id,
            limit: limit::Limit::ZERO,
            slot_bucket: bucket::Bucket::new(limit::Limit::ZERO, now),
            passed_on: amount::Amount::ZERO,
            received: amount::Amount::ZERO,
            unspent: amount::Amount::ZERO,
            loan_end: instant::Instant::ORIGIN,
            spent: amount::Amount::ZERO,
            requested: amount::Amount::ZERO,
            missing: amount::Amount::ZERO,
            demand: amount::Amount::ZERO,
            retry_at: instant::Instant::ORIGIN,
            is_oversubscribed: false,
            reported_need: amount::Amount::ZERO,
            quiet_until: instant::Instant::ORIGIN,
            low_until: instant::Instant::ORIGIN,
            is_scarce: false,
            is_tracked: false,
        }
    }

    /// Refills the slots' bucket; tokens in transit to the owner still count against its burst.
    fn refill(&mut self, now: instant::Instant) {
        let in_transit = self.passed_on.saturating_sub(self.received);
        let cap = self.slot_bucket.limit().burst.saturating_sub(in_transit);
        self.slot_bucket.refill(cap, now);
    }

    fn lent(&self, now: instant::Instant) -> amount::Amount {
        if now < self.loan_end {
            self.unspent
        } else {
            amount::Amount::ZERO
        }
    }

    fn lacks(&self, need: amount::Amount, now: instant::Instant) -> bool {
        self.lent(now).saturating_add(self.slot_bucket.level()) < need
    }

    /// Spends lent tokens first, because they expire.
    fn spend(&mut self, amount: amount::Amount, now: instant::Instant) {
        let lent = self.lent(now).min(amount);
        self.unspent = self.unspent.saturating_sub(lent);
        self.spent = self.spent.saturating_add(lent);
        self.slot_bucket.take(amount.saturating_sub(lent));
    }

    fn retry_after(&self, amount: amount::Amount) -> time::Duration {
        let missing = amount.saturating_sub(self.unspent);
        time::Duration::from_micros(self.slot_bucket.wait(missing)).min(MAX_RETRY_AFTER)
    }

    fn is_active(&self, now: instant::Instant) -> bool {
        self.unspent > amount::Amount::ZERO
            || self.requested > amount::Amount::ZERO
            || self.missing > amount::Amount::ZERO
            || self.demand > amount::Amount::ZERO
            || now < self.low_until
    }

    /// Returns a report if tokens are missing, wanted, expiring or returned.
    fn report(
        &mut self,
        period: time::Duration,
        timing: &timing::Timing,
        now: instant::Instant,
    ) -> Option<message::Report> {
        self.refill(now);
        self.unspent = self.lent(now);
        let need = self.need(period, now);
        let before = (self.unspent, self.passed_on);
        self.pass_on_unused(need, now);
        self.return_excess(need, now);
        let has_returned = before != (self.unspent, self.passed_on);
        let available = self.unspent.saturating_add(self.slot_bucket.level());
        let is_expiring =
            self.unspent > amount::Amount::ZERO && self.loan_end.since(now) < timing.loan_ttl / 2;
        let is_below_need = available < need && now >= self.quiet_until;
        let is_missing = self.missing > amount::Amount::ZERO;
        if !(has_returned || is_expiring || is_below_need || is_missing) {
            return None;
        }
        let missing = self.missing.saturating_sub(available);
        let available = available.saturating_sub(self.missing);
        let want = need.scaled(3, 2).saturating_sub(available);
        self.reported_need = missing.saturating_add(want);
        Some(message::Report {
            budget: self.id,
            unspent: self.unspent,
            spent: self.spent,
            passed_on: self.passed_on,
            missing,
            want,
            demand: self.demand,
        })
    }

    fn update_demand(&mut self, elapsed: time::Duration) {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let measured = self.requested.scaled(MICROS_PER_SECOND, micros.max(1));
        let previous = self
            .demand
            .scaled(DEMAND_EWMA_DIVISOR - 1, DEMAND_EWMA_DIVISOR);
        self.demand = previous.saturating_add(measured.scaled(1, DEMAND_EWMA_DIVISOR));
        if self.demand < amount::Amount::TOKEN.scaled(1, 10) {
            self.demand = amount::Amount::ZERO;
        }
        self.requested = amount::Amount::ZERO;
    }

    /// Returns the tokens needed to serve the expected demand of a period.
    ///
    /// The allowance for random variation is smaller while the owner's tokens are scarce.
    fn need(&self, period: time::Duration, now: instant::Instant) -> amount::Amount {
        let micros = u64::try_from(period.as_micros()).unwrap_or(u64::MAX);
        let mean = self.demand.scaled(micros, MICROS_PER_SECOND);
        let tokens = mean.as_micros() / amount::Amount::TOKEN.as_micros();
        let allowance = if mean == amount::Amount::ZERO {
            0
        } else if self.is_scarce(now) {
            tokens.isqrt()
        } else {
            2 * tokens.isqrt() + 1
        };
        mean.saturating_add(amount::Amount::from_tokens(allowance))
    }

    fn is_scarce(&self, now: instant::Instant) -> bool {
        self.is_scarce && now < self.low_until
    }

    /// Passes the slots' unneeded tokens on to the owner while the budget is low.
    ///
    /// Most of the slots' burst stays here, in case the owner becomes unreachable.
    fn pass_on_unused(&mut self, need: amount::Amount, now: instant::Instant) {
        if now >= self.low_until {
            return;
        }
        let burst = self.slot_bucket.limit().burst;
        let room = burst.scaled(1, PASS_ON_DIVISOR);
        let in_transit = self.passed_on.saturating_sub(self.received);
        let keep = burst.saturating_sub(room).max(need);
        let unused = self.slot_bucket.level().saturating_sub(keep);
        let passed_on = self
            .slot_bucket
            .take(unused.min(room.saturating_sub(in_transit)));
        self.passed_on = self.passed_on.saturating_add(passed_on);
    }

    /// Gives up lent tokens beyond the need; the report's counts return them to the owner.
    fn return_excess(&mut self, need: amount::Amount, now: instant::Instant) {
        let keep = if self.is_scarce(now) {
            need
        } else {
            need.scaled(5, 2)
        };
        self.unspent = self.unspent.min(keep.max(self.missing));
    }

    fn apply_grant(
        &mut self,
        grant: &message::Grant,
        sent: instant::Instant,
        timing: &timing::Timing,
        now: instant::Instant,
    ) {
        // Expired tokens are left out: the owner may have let the loan expire, too.
        self.unspent = self.lent(now).saturating_add(grant.tokens);
        let ttl = timing.shorten_for_drift(time::Duration::from_micros(grant.ttl_micros));
        if ttl > time::Duration::ZERO {
            self.loan_end = self.loan_end.max(sent + ttl);
        }
        self.received = self.received.max(grant.received);
        self.missing = amount::Amount::ZERO;
        if grant.tokens < self.reported_need {
            self.quiet_until = now + timing.ask_timeout;
        }
        self.retry_at = now + time::Duration::from_micros(grant.retry_micros);
        self.is_oversubscribed = grant.is_oversubscribed;
    }
}
