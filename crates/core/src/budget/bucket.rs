//! Token bucket in exact integer arithmetic.

use super::amount;
use super::limit;
use crate::instant;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket that refills up to its burst or a lower cap.
///
/// It has no clock of its own: the caller passes the time to each refill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    limit: limit::Limit,
    level: amount::Amount,
    /// Fraction of a refill below a millionth of a token, in millionths of it, carried over.
    remainder: u64,
    refilled_at: instant::Instant,
}

impl Bucket {
    /// Creates an empty bucket.
    #[must_use]
    pub const fn new(limit: limit::Limit, now: instant::Instant) -> Self {
        Self {
            limit,
            level: amount::Amount::ZERO,
            remainder: 0,
            refilled_at: now,
        }
    }

    /// Returns the rate and burst.
    #[must_use]
    pub const fn limit(&self) -> limit::Limit {
        self.limit
    }

    /// Returns the tokens in the bucket after the last refill.
    #[must_use]
    pub const fn level(&self) -> amount::Amount {
        self.level
    }

    /// Changes the rate and burst; tokens above the new burst are discarded.
    pub fn resize(&mut self, limit: limit::Limit, now: instant::Instant) {
        self.refill(self.limit.burst, now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Adds the tokens gained since the last refill, up to a level of `cap`.
    pub fn refill(&mut self, cap: amount::Amount, now: instant::Instant) {
        let elapsed = now.as_micros().saturating_sub(self.refilled_at.as_micros());
        if elapsed == 0 {
            return;
        }
        self.refilled_at = now;
        let gained = self.gain(elapsed);
        self.put(gained, cap);
    }

    /// Adds tokens up to a level of `cap`; the excess is discarded.
    pub fn put(&mut self, amount: amount::Amount, cap: amount::Amount) {
        let room = cap.min(self.limit.burst).saturating_sub(self.level);
        self.level = self.level.saturating_add(amount.min(room));
    }

    /// Takes up to `amount`, and returns the amount taken.
    pub fn take(&mut self, amount: amount::Amount) -> amount::Amount {
        let taken = amount.min(self.level);
        self.level = self.level.saturating_sub(taken);
        taken
    }

    /// Returns the microseconds until the level reaches `amount` if nothing is taken.
    ///
    /// Returns [`u64::MAX`] for a rate of zero.
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
        let (whole, remainder) = match rate
            .checked_mul(elapsed)
            .and_then(|p| p.checked_add(self.remainder))
        {
            Some(sum) => (sum / MICROS_PER_SECOND, sum % MICROS_PER_SECOND),
            None => wide_gain(rate, elapsed, self.remainder),
        };
        self.remainder = remainder;
        amount::Amount::from_micros(whole)
    }
}

/// Returns the gain and the remainder in 128-bit arithmetic, for products that exceed 64 bits.
fn wide_gain(rate: u64, elapsed: u64, remainder: u64) -> (u64, u64) {
    let second = u128::from(MICROS_PER_SECOND);
    let sum = u128::from(rate) * u128::from(elapsed) + u128::from(remainder);
    let whole = u64::try_from(sum / second).unwrap_or(u64::MAX);
    (whole, u64::try_from(sum % second).unwrap_or(0))
}
