//! A token bucket in exact integers.

use super::amount;
use super::limit;
use crate::instant;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket that a deciding function refills up to a given cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    limit: limit::Limit,
    level: amount::Amount,
    /// Millionths of a millionth of a token, carried from refill to refill.
    rest: u64,
    at: instant::Instant,
}

impl Bucket {
    /// Creates an empty bucket.
    #[must_use]
    pub const fn new(limit: limit::Limit, now: instant::Instant) -> Self {
        Self {
            limit,
            level: amount::Amount::ZERO,
            rest: 0,
            at: now,
        }
    }

    /// Returns the rate and burst.
    #[must_use]
    pub const fn limit(&self) -> limit::Limit {
        self.limit
    }

    /// Returns the tokens in hand after the last refill.
    #[must_use]
    pub const fn level(&self) -> amount::Amount {
        self.level
    }

    /// Changes the rate and burst; tokens above the new burst are lost.
    pub fn resize(&mut self, limit: limit::Limit, now: instant::Instant) {
        self.refill(self.limit.burst, now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Adds the tokens that appeared since the last refill, up to `cap` in hand.
    pub fn refill(&mut self, cap: amount::Amount, now: instant::Instant) {
        let elapsed = now.as_micros().saturating_sub(self.at.as_micros());
        if elapsed == 0 {
            return;
        }
        self.at = now;
        let gained = self.gain(elapsed);
        self.put(gained, cap);
    }

    /// Adds tokens up to `cap` in hand; the rest is lost.
    pub fn put(&mut self, amount: amount::Amount, cap: amount::Amount) {
        let room = cap.min(self.limit.burst).saturating_sub(self.level);
        self.level = self.level.saturating_add(amount.min(room));
    }

    /// Takes up to `amount` and returns what was taken.
    pub fn take(&mut self, amount: amount::Amount) -> amount::Amount {
        let taken = amount.min(self.level);
        self.level = self.level.saturating_sub(taken);
        taken
    }

    /// Returns the microseconds until `amount` is in hand, without other use.
    #[must_use]
    pub fn wait(&self, amount: amount::Amount) -> u64 {
        let missing = amount.saturating_sub(self.level);
        match self.limit.rate.as_micros() {
            0 => u64::MAX,
            rate => missing.scaled(MICROS_PER_SECOND, rate).as_micros(),
        }
    }

    fn gain(&mut self, elapsed: u64) -> amount::Amount {
        let rate = self.limit.rate.as_micros();
        let (whole, rest) = match rate
            .checked_mul(elapsed)
            .and_then(|p| p.checked_add(self.rest))
        {
            Some(sum) => (sum / MICROS_PER_SECOND, sum % MICROS_PER_SECOND),
            None => wide_gain(rate, elapsed, self.rest),
        };
        self.rest = rest;
        amount::Amount::from_micros(whole)
    }
}

fn wide_gain(rate: u64, elapsed: u64, rest: u64) -> (u64, u64) {
    let second = u128::from(MICROS_PER_SECOND);
    let sum = u128::from(rate) * u128::from(elapsed) + u128::from(rest);
    let whole = u64::try_from(sum / second).unwrap_or(u64::MAX);
    (whole, u64::try_from(sum % second).unwrap_or(0))
}
