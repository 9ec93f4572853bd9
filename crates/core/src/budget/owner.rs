//! Owner of all budgets during one lease term, which lends tokens to limiters.

use std::collections;
use std::time;

use super::amount;
use super::bucket;
use super::limit;
use super::message;
use super::share;
use super::timing;
use crate::instant;
use crate::lease;
use crate::name;

/// Age beyond which a report no longer counts in the estimate of total demand.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(500);
/// Maximum number of low budgets in one reply.
const MAX_LOW_BUDGETS: usize = 64;
/// Divisor of the burst: a budget below `burst / LOW_DIVISOR` is low, and slots pass tokens on.
const LOW_DIVISOR: u64 = 2;
/// Divisor of the burst: below `burst / SCARCE_DIVISOR` only missing tokens are lent.
const SCARCE_DIVISOR: u64 = 8;
/// Longest time for which a limiter is told not to ask again, in microseconds.
const MAX_RETRY_MICROS: u64 = 200_000;
/// Shortest time for which a limiter is told not to ask again, in microseconds.
const MIN_RETRY_MICROS: u64 = 5_000;

/// The owner of all budgets during one epoch.
///
/// It holds the tokens that no claimed slot receives, and lends them for a short time.
#[derive(Clone, Debug)]
pub struct Owner {
    timing: timing::Timing,
    term: lease::Term,
    share: share::Share,
    reading: Reading,
    pools: collections::HashMap<u64, Pool>,
    limiters: collections::HashMap<name::Incarnation, KnownLimiter>,
    low_budgets: collections::BTreeMap<u64, bool>,
}

/// The claimed slots, as an owner read them from the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Sum of the shares of the claimed slots.
    pub claimed: share::Share,
    /// Largest sum of shares that claims can reach.
    pub limit: share::Share,
    /// Instant from which slots may be in use that were claimed after this reading.
    pub until: instant::Instant,
}

impl Reading {
    /// Creates a reading whose query was sent at `asked`.
    #[must_use]
    pub fn new(
        claimed: share::Share,
        limit: share::Share,
        asked: instant::Instant,
        timing: &timing::Timing,
    ) -> Self {
        Self {
            claimed,
            limit: limit.max(claimed),
            until: asked + timing.shorten_for_drift(timing.reading_ttl),
        }
    }

    /// Returns the share that the slots leave to the owner at `now`.
    fn owner_share(&self, now: instant::Instant) -> share::Share {
        if now < self.until {
            self.claimed.complement()
        } else {
            self.limit.complement()
        }
    }
}

/// A limiter that has sent a request in this epoch.
#[derive(Clone, Copy, Debug)]
struct KnownLimiter {
    index: u32,
    /// Sequence number of its newest request.
    seq: u64,
}

/// The owner's part of one budget: the tokens left to lend, and the loans.
#[derive(Clone, Debug)]
struct Pool {
    limit: limit::Limit,
    bucket: bucket::Bucket,
    loans: Vec<Loan>,
}

/// The tokens that one limiter has borrowed of one budget, by its last report.
#[derive(Clone, Copy, Debug)]
struct Loan {
    limiter: u32,
    outstanding: amount::Amount,
    spent: amount::Amount,
    passed_on: amount::Amount,
    want: amount::Amount,
    demand: amount::Amount,
    reported_at: instant::Instant,
    until: instant::Instant,
}

impl Owner {
    /// Creates the owner of a new epoch, without tokens.
    ///
    /// The loans of the previous epoch must have ended: either its term expired, or
    /// it was released at least [`timing::Timing::succession_delay`] ago.
    #[must_use]
    pub fn new(term: lease::Term, reading: Reading, timing: timing::Timing) -> Self {
        Self {
            timing,
            term,
            share: reading.limit.complement(),
            reading,
            pools: collections::HashMap::new(),
            limiters: collections::HashMap::new(),
            low_budgets: collections::BTreeMap::new(),
        }
    }

    /// Returns the lease term in which this owner may lend.
    #[must_use]
    pub const fn term(&self) -> lease::Term {
        self.term
    }

    /// Extends the term, and applies a newer reading of the claimed slots.
    ///
    /// A term of another epoch is ignored: that epoch needs a new owner.
    pub fn renew(&mut self, term: lease::Term, reading: Reading, now: instant::Instant) {
        if term.epoch != self.term.epoch {
            return;
        }
        self.term = term;
        if reading.until > self.reading.until {
            self.reading = reading;
        }
        self.update_share(now);
    }

    /// Updates the owner's share: what the claimed slots leave, or the minimum if the reading is old.
    fn update_share(&mut self, now: instant::Instant) {
        let share = self.reading.owner_share(now);
        if self.share == share {
            return;
        }
        self.share = share;
        for pool in self.pools.values_mut() {
            pool.resize(share.of(pool.limit, &self.timing), now);
        }
    }

    /// Sets the rate and burst of a budget; a new budget starts without tokens.
    pub fn set_limit(&mut self, budget: u64, limit: limit::Limit, now: instant::Instant) {
        let owner_limit = self.share.of(limit, &self.timing);
        let pool = self
            .pools
            .entry(budget)
            .or_insert_with(|| Pool::new(owner_limit, now));
        pool.limit = limit;
        pool.resize(owner_limit, now);
    }

    /// Removes the budgets that `keep` does not contain, after their loans have expired.
    pub fn retain(&mut self, keep: &collections::BTreeSet<u64>, now: instant::Instant) {
        self.low_budgets
            .retain(|budget, _is_scarce| keep.contains(budget));
        self.pools.retain(|budget, pool| {
            if keep.contains(budget) {
                return true;
            }
            pool.resize(limit::Limit::ZERO, now);
            !pool.loans.is_empty()
        });
    }

    /// Returns the reply to a request, none outside the term or to an outdated request.
    pub fn answer(
        &mut self,
        request: &message::Request,
        now: instant::Instant,
    ) -> Option<message::Reply> {
        if !self.term.is_valid(now) {
            return None;
        }
        self.update_share(now);
        let limiter = self.accept_request(request)?;
        let is_current = request.epoch == self.term.epoch;
        let reports = if is_current {
            request.reports.as_slice()
        } else {
            &[]
        };
        let grants: Vec<message::Grant> = reports
            .iter()
            .filter_map(|report| self.grant(limiter, report, now))
            .collect();
        Some(message::Reply {
            epoch: self.term.epoch,
            seq: request.seq,
            grants,
            low: self.reported_low_budgets(),
        })
    }

    fn reported_low_budgets(&self) -> Vec<message::LowBudget> {
        let budgets = self
            .low_budgets
            .iter()
            .map(|(budget, is_scarce)| message::LowBudget {
                budget: *budget,
                is_scarce: *is_scarce,
            });
        budgets.take(MAX_LOW_BUDGETS).collect()
    }

    /// Records a request's sequence number and returns the limiter's index, none if it is outdated.
    fn accept_request(&mut self, request: &message::Request) -> Option<u32> {
        let next = u32::try_from(self.limiters.len()).unwrap_or(u32::MAX);
        let Some(known) = self.limiters.get_mut(&request.limiter) else {
            let known = KnownLimiter {
                index: next,
                seq: request.seq,
            };
            self.limiters.insert(request.limiter.clone(), known);
            return Some(next);
        };
        if request.seq <= known.seq {
            return None;
        }
        known.seq = request.seq;
        Some(known.index)
    }

    fn grant(
        &mut self,
        limiter: u32,
        report: &message::Report,
        now: instant::Instant,
    ) -> Option<message::Grant> {
        let ttl = self.term.until.since(now).min(self.timing.loan_ttl);
        let pool = self.pools.get_mut(&report.budget)?;
        let grant = pool.grant(limiter, report, ttl, now);
        if pool.is_low() {
            self.low_budgets.insert(report.budget, pool.is_scarce());
        } else {
            self.low_budgets.remove(&report.budget);
        }
        Some(grant)
    }
}

impl Pool {
    fn new(owner_limit: limit::Limit, now: instant::Instant) -> Self {
        Self {
            limit: owner_limit,
            bucket: bucket::Bucket::new(owner_limit, now),
            loans: Vec::new(),
        }
    }

    fn outstanding(&self) -> amount::Amount {
        let amounts = self.loans.iter().map(|loan| loan.outstanding);
        amounts.fold(amount::Amount::ZERO, amount::Amount::saturating_add)
    }

    /// Returns the maximum level of the bucket beside the outstanding loans.
    fn cap(&self) -> amount::Amount {
        self.bucket.limit().burst.saturating_sub(self.outstanding())
    }

    fn refill(&mut self, now: instant::Instant) {
        self.bucket.refill(self.cap(), now);
        self.loans.retain(|loan| now < loan.until);
    }

    fn resize(&mut self, owner_limit: limit::Limit, now: instant::Instant) {
        self.refill(now);
        self.bucket.resize(owner_limit, now);
        let cap = self.cap();
        let excess = self.bucket.level().saturating_sub(cap);
        self.bucket.take(excess);
    }

    fn is_low(&self) -> bool {
        self.bucket.level() < self.bucket.limit().burst.scaled(1, LOW_DIVISOR)
    }

    fn is_scarce(&self) -> bool {
        self.bucket.level() < self.scarce_level()
    }

    fn grant(
        &mut self,
        limiter: u32,
        report: &message::Report,
        ttl: time::Duration,
        now: instant::Instant,
    ) -> message::Grant {
        self.refill(now);
        let index = self.update_loan(limiter, report, now);
        let loan = self.loans[index];
        self.credit(report.passed_on.saturating_sub(loan.passed_on));
        self.loans[index].passed_on = report.passed_on;
        let is_overlent = self.outstanding() > self.bucket.limit().burst;
        let tokens = if is_overlent {
            amount::Amount::ZERO
        } else {
            self.lend(report)
        };
        let loan = &mut self.loans[index];
        loan.outstanding = loan.outstanding.saturating_add(tokens);
        // After the owner's limit has shrunk, loans above it expire without extension.
        let ttl = if is_overlent {
            time::Duration::ZERO
        } else {
            ttl
        };
        loan.until = loan.until.max(now + ttl);
        message::Grant {
            budget: report.budget,
            tokens,
            received: report.passed_on,
            ttl_micros: u64::try_from(ttl.as_micros()).unwrap_or(u64::MAX),
            retry_micros: self.retry_micros(report.missing.saturating_sub(tokens)),
            is_oversubscribed: self.is_oversubscribed(now),
        }
    }

    /// Updates a limiter's loan by its report, and returns the loan's index.
    ///
    /// Lent tokens that the limiter neither has nor spent return to the bucket.
    fn update_loan(
        &mut self,
        limiter: u32,
        report: &message::Report,
        now: instant::Instant,
    ) -> usize {
        let found = self.loans.iter().position(|loan| loan.limiter == limiter);
        let index = found.unwrap_or_else(|| {
            self.loans.push(Loan {
                limiter,
                outstanding: amount::Amount::ZERO,
                spent: report.spent,
                passed_on: report.passed_on,
                want: amount::Amount::ZERO,
                demand: amount::Amount::ZERO,
                reported_at: now,
                until: now,
            });
            self.loans.len() - 1
        });
        let loan = &mut self.loans[index];
        let spent = report.spent.saturating_sub(loan.spent);
        let decrease = loan.outstanding.saturating_sub(report.unspent);
        let returned = decrease.saturating_sub(spent);
        loan.outstanding = loan.outstanding.min(report.unspent);
        loan.spent = report.spent;
        loan.want = report.want;
        loan.demand = report.demand;
        loan.reported_at = now;
        self.credit(returned);
        index
    }

    fn credit(&mut self, amount: amount::Amount) {
        let cap = self.cap();
        self.bucket.put(amount, cap);
    }

    /// Returns the level below which tokens are lent only to waiting requests.
    fn scarce_level(&self) -> amount::Amount {
        self.bucket.limit().burst.scaled(1, SCARCE_DIVISOR)
    }

    /// Takes the missing tokens from the bucket, and a proportional part of the wanted ones.
    fn lend(&mut self, report: &message::Report) -> amount::Amount {
        let missing = self.bucket.take(report.missing);
        let spare = self.bucket.level().saturating_sub(self.scarce_level());
        let wants = self.loans.iter().map(|loan| loan.want);
        let sum = wants.fold(amount::Amount::ZERO, amount::Amount::saturating_add);
        if sum <= spare {
            return missing.saturating_add(self.bucket.take(report.want));
        }
        let fair_part = spare.scaled(report.want.as_micros(), sum.as_micros());
        // A fraction of a token admits no request.
        let tokens = fair_part.as_micros() / amount::Amount::TOKEN.as_micros();
        let fair_part = amount::Amount::from_tokens(tokens);
        missing.saturating_add(self.bucket.take(fair_part))
    }

    /// Returns whether total demand exceeds the rate by more than random variation explains.
    fn is_oversubscribed(&self, now: instant::Instant) -> bool {
        let recent = self
            .loans
            .iter()
            .filter(|loan| now.since(loan.reported_at) < MAX_REPORT_AGE);
        let demands = recent.map(|loan| loan.demand);
        let demand = demands.fold(amount::Amount::ZERO, amount::Amount::saturating_add);
        let rate = self.limit.rate;
        let tokens = rate.as_micros() / amount::Amount::TOKEN.as_micros();
        let allowance = amount::Amount::from_tokens(3 * tokens.isqrt());
        demand > rate.scaled(5, 4).saturating_add(allowance)
    }

    fn retry_micros(&self, unmet: amount::Amount) -> u64 {
        if unmet == amount::Amount::ZERO {
            return 0;
        }
        self.bucket
            .wait(unmet)
            .clamp(MIN_RETRY_MICROS, MAX_RETRY_MICROS)
    }
}
