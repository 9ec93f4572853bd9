//! This host's part of a budget that all hosts share.

use crate::instant;

const MICROS: u128 = 1_000_000;

/// A token bucket over this host's granted part of a shared rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    rate: u64,
    burst: u64,
    credit: u128,
    at: instant::Instant,
}

impl Allowance {
    /// Creates an allowance of `rate` a second with nothing saved up.
    #[must_use]
    pub const fn new(rate: u64, burst: u64, now: instant::Instant) -> Self {
        Self {
            rate,
            burst,
            credit: 0,
            at: now,
        }
    }

    /// Returns the allowance with another granted rate; nothing saved is added.
    #[must_use]
    pub fn with_rate(mut self, rate: u64, now: instant::Instant) -> Self {
        self.fill(now);
        self.rate = rate;
        self
    }

    /// Returns whether one more would be allowed at `now`.
    #[must_use]
    pub fn has_token(&self, now: instant::Instant) -> bool {
        let mut then = *self;
        then.fill(now);
        then.credit >= MICROS
    }

    /// Takes one; returns whether it was allowed.
    pub fn take(&mut self, now: instant::Instant) -> bool {
        self.fill(now);
        let Some(rest) = self.credit.checked_sub(MICROS) else {
            return false;
        };
        self.credit = rest;
        true
    }

    fn fill(&mut self, now: instant::Instant) {
        let earned = u128::from(self.rate) * now.since(self.at).as_micros();
        self.credit = (self.credit + earned).min(u128::from(self.burst) * MICROS);
        self.at = self.at.max(now);
    }
}
