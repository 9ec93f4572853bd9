//! The owner of budgets, which lends tokens to holders.

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

/// Age past which a report tells nothing of the demand.
const RECENT: time::Duration = time::Duration::from_millis(500);
/// Most budgets that one answer calls needy.
const MAX_NEEDY: usize = 64;
/// Level, as one part in so many of the burst, below which slots pass tokens on.
const LOW: u64 = 2;
/// Level, as one part in so many of the burst, below which only misses are lent.
const SCARCE: u64 = 8;
/// Most microseconds for which a holder is told not to ask again.
const MAX_DRY: u64 = 200_000;
/// Fewest microseconds for which a holder is told not to ask again.
const MIN_DRY: u64 = 5_000;

/// The owner of all budgets during one epoch.
#[derive(Clone, Debug)]
pub struct Owner {
    timing: timing::Timing,
    term: lease::Term,
    share: share::Share,
    reading: Reading,
    lines: collections::HashMap<u64, Line>,
    holders: collections::HashMap<name::Incarnation, Known>,
    needy: collections::BTreeMap<u64, bool>,
}

/// What an owner knows of the claimed slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Sum of the claimed slots' shares.
    pub claimed: share::Share,
    /// Largest sum that claims can reach.
    pub limit: share::Share,
    /// Instant from which slots may be in use that were claimed after the reading was asked for.
    pub until: instant::Instant,
}

impl Reading {
    /// Creates a reading that was asked for at `asked`.
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

    /// Returns what the slots leave the owner at `now`.
    fn rest(&self, now: instant::Instant) -> share::Share {
        if now < self.until {
            self.claimed.complement()
        } else {
            self.limit.complement()
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    index: u32,
    seq: u64,
}

#[derive(Clone, Debug)]
struct Line {
    whole: limit::Limit,
    bucket: bucket::Bucket,
    loans: Vec<Loan>,
}

/// What one holder has of one budget, as far as the owner knows.
#[derive(Clone, Copy, Debug)]
struct Loan {
    holder: u32,
    out: amount::Amount,
    spent: amount::Amount,
    freed: amount::Amount,
    want: amount::Amount,
    demand: amount::Amount,
    at: instant::Instant,
    until: instant::Instant,
}

impl Owner {
    /// Creates the owner of a new epoch, without tokens.
    ///
    /// The loans of the epoch before must have ended: either its term has lapsed, or
    /// it was given back for as long as [`timing::Timing::succession_delay`] says.
    #[must_use]
    pub fn new(term: lease::Term, reading: Reading, timing: timing::Timing) -> Self {
        Self {
            timing,
            term,
            share: reading.limit.complement(),
            reading,
            lines: collections::HashMap::new(),
            holders: collections::HashMap::new(),
            needy: collections::BTreeMap::new(),
        }
    }

    /// Returns the term.
    #[must_use]
    pub const fn term(&self) -> lease::Term {
        self.term
    }

    /// Extends the term, and follows a newer reading of the claimed slots.
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
        self.follow(now);
    }

    /// Takes the share that the claimed slots leave, and the least share once the reading is old.
    fn follow(&mut self, now: instant::Instant) {
        let share = self.reading.rest(now);
        if self.share == share {
            return;
        }
        self.share = share;
        for line in self.lines.values_mut() {
            line.resize(share.of(line.whole, &self.timing), now);
        }
    }

    /// Puts a budget's rate and burst in force; a new budget starts without tokens.
    pub fn set_limit(&mut self, budget: u64, whole: limit::Limit, now: instant::Instant) {
        let part = self.share.of(whole, &self.timing);
        let line = self
            .lines
            .entry(budget)
            .or_insert_with(|| Line::new(part, now));
        line.whole = whole;
        line.resize(part, now);
    }

    /// Ends the budgets that `keep` does not name; their loans are left to expire.
    pub fn retain(&mut self, keep: &collections::BTreeSet<u64>, now: instant::Instant) {
        self.needy
            .retain(|budget, _is_scarce| keep.contains(budget));
        self.lines.retain(|budget, line| {
            if keep.contains(budget) {
                return true;
            }
            line.resize(limit::Limit::ZERO, now);
            !line.loans.is_empty()
        });
    }

    /// Answers an ask, or not at all outside the term and to repeated asks.
    pub fn answer(
        &mut self,
        ask: &message::Request,
        now: instant::Instant,
    ) -> Option<message::Reply> {
        if !self.term.is_valid(now) {
            return None;
        }
        self.follow(now);
        let holder = self.hear(ask)?;
        let is_current = ask.epoch == self.term.epoch;
        let reports = if is_current {
            ask.reports.as_slice()
        } else {
            &[]
        };
        let grants: Vec<message::Grant> = reports
            .iter()
            .filter_map(|report| self.grant(holder, report, now))
            .collect();
        Some(message::Reply {
            epoch: self.term.epoch,
            seq: ask.seq,
            grants,
            low: self.needs(),
        })
    }

    fn needs(&self) -> Vec<message::LowBudget> {
        let needs = self
            .needy
            .iter()
            .map(|(budget, is_scarce)| message::LowBudget {
                budget: *budget,
                is_scarce: *is_scarce,
            });
        needs.take(MAX_NEEDY).collect()
    }

    /// Notes an ask's number and returns the holder's index, unless it was heard before.
    fn hear(&mut self, ask: &message::Request) -> Option<u32> {
        let next = u32::try_from(self.holders.len()).unwrap_or(u32::MAX);
        let Some(known) = self.holders.get_mut(&ask.holder) else {
            let known = Known {
                index: next,
                seq: ask.seq,
            };
            self.holders.insert(ask.holder.clone(), known);
            return Some(next);
        };
        if ask.seq <= known.seq {
            return None;
        }
        known.seq = ask.seq;
        Some(known.index)
    }

    fn grant(
        &mut self,
        holder: u32,
        report: &message::Report,
        now: instant::Instant,
    ) -> Option<message::Grant> {
        let span = self.term.until.since(now).min(self.timing.loan_ttl);
        let line = self.lines.get_mut(&report.budget)?;
        let grant = line.grant(holder, report, span, now);
        if line.is_low() {
            self.needy.insert(report.budget, line.is_scarce());
        } else {
            self.needy.remove(&report.budget);
        }
        Some(grant)
    }
}

impl Line {
    fn new(part: limit::Limit, now: instant::Instant) -> Self {
        Self {
            whole: part,
            bucket: bucket::Bucket::new(part, now),
            loans: Vec::new(),
        }
    }

    fn out(&self) -> amount::Amount {
        let out = self.loans.iter().map(|loan| loan.out);
        out.fold(amount::Amount::ZERO, amount::Amount::saturating_add)
    }

    /// Returns the most tokens that the bucket may hold beside the loans.
    fn cap(&self) -> amount::Amount {
        self.bucket.limit().burst.saturating_sub(self.out())
    }

    fn refill(&mut self, now: instant::Instant) {
        self.bucket.refill(self.cap(), now);
        self.loans.retain(|loan| now < loan.until);
    }

    fn resize(&mut self, part: limit::Limit, now: instant::Instant) {
        self.refill(now);
        self.bucket.resize(part, now);
        let cap = self.cap();
        let excess = self.bucket.level().saturating_sub(cap);
        self.bucket.take(excess);
    }

    fn is_low(&self) -> bool {
        self.bucket.level() < self.bucket.limit().burst.scaled(1, LOW)
    }

    fn is_scarce(&self) -> bool {
        self.bucket.level() < self.kept()
    }

    fn grant(
        &mut self,
        holder: u32,
        report: &message::Report,
        life: time::Duration,
        now: instant::Instant,
    ) -> message::Grant {
        self.refill(now);
        let index = self.settle(holder, report, now);
        let loan = self.loans[index];
        self.credit(report.passed_on.saturating_sub(loan.freed));
        self.loans[index].freed = report.passed_on;
        let is_excess = self.out() > self.bucket.limit().burst;
        let tokens = if is_excess {
            amount::Amount::ZERO
        } else {
            self.lend(report)
        };
        let loan = &mut self.loans[index];
        loan.out = loan.out.saturating_add(tokens);
        // Loans beyond a part that has shrunk are left to expire.
        let life = if is_excess {
            time::Duration::ZERO
        } else {
            life
        };
        loan.until = loan.until.max(now + life);
        message::Grant {
            budget: report.budget,
            tokens,
            received: report.passed_on,
            ttl_micros: u64::try_from(life.as_micros()).unwrap_or(u64::MAX),
            retry_micros: self.dry(report.missing.saturating_sub(tokens)),
            is_oversubscribed: self.is_over(now),
        }
    }

    /// Brings a holder's loan up to its report; lent tokens that it neither holds nor
    /// spent come back.
    fn settle(&mut self, holder: u32, report: &message::Report, now: instant::Instant) -> usize {
        let found = self.loans.iter().position(|loan| loan.holder == holder);
        let index = found.unwrap_or_else(|| {
            self.loans.push(Loan {
                holder,
                out: amount::Amount::ZERO,
                spent: report.spent,
                freed: report.passed_on,
                want: amount::Amount::ZERO,
                demand: amount::Amount::ZERO,
                at: now,
                until: now,
            });
            self.loans.len() - 1
        });
        let loan = &mut self.loans[index];
        let spent = report.spent.saturating_sub(loan.spent);
        let gone = loan.out.saturating_sub(report.unspent);
        let back = gone.saturating_sub(spent);
        loan.out = loan.out.min(report.unspent);
        loan.spent = report.spent;
        loan.want = report.want;
        loan.demand = report.demand;
        loan.at = now;
        self.credit(back);
        index
    }

    fn credit(&mut self, amount: amount::Amount) {
        let cap = self.cap();
        self.bucket.put(amount, cap);
    }

    /// Returns the tokens that are lent only where requests miss them.
    fn kept(&self) -> amount::Amount {
        self.bucket.limit().burst.scaled(1, SCARCE)
    }

    /// Takes what a holder misses from the bucket, and a fair part of what it wants.
    fn lend(&mut self, report: &message::Report) -> amount::Amount {
        let missed = self.bucket.take(report.missing);
        let spare = self.bucket.level().saturating_sub(self.kept());
        let wants = self.loans.iter().map(|loan| loan.want);
        let sum = wants.fold(amount::Amount::ZERO, amount::Amount::saturating_add);
        if sum <= spare {
            return missed.saturating_add(self.bucket.take(report.want));
        }
        let part = spare.scaled(report.want.as_micros(), sum.as_micros());
        // Parts of a token serve nobody.
        let tokens = part.as_micros() / amount::Amount::TOKEN.as_micros();
        let part = amount::Amount::from_tokens(tokens);
        missed.saturating_add(self.bucket.take(part))
    }

    /// Returns whether the demand of all holders is above the rate beyond doubt.
    fn is_over(&self, now: instant::Instant) -> bool {
        let recent = self.loans.iter().filter(|loan| now.since(loan.at) < RECENT);
        let demands = recent.map(|loan| loan.demand);
        let demand = demands.fold(amount::Amount::ZERO, amount::Amount::saturating_add);
        let rate = self.whole.rate;
        let tokens = rate.as_micros() / amount::Amount::TOKEN.as_micros();
        let noise = amount::Amount::from_tokens(3 * tokens.isqrt());
        demand > rate.scaled(5, 4).saturating_add(noise)
    }

    fn dry(&self, unmet: amount::Amount) -> u64 {
        if unmet == amount::Amount::ZERO {
            return 0;
        }
        self.bucket.wait(unmet).clamp(MIN_DRY, MAX_DRY)
    }
}
