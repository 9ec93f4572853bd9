//! Token bucket for this host's share of a rate that all hosts divide.

use crate::instant;

const MICROTOKENS_PER_TOKEN: u128 = 1_000_000;

/// Token bucket that refills at this host's share of a fleet-wide rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    rate: u64,
    burst: u64,
    microtokens: u128,
    refilled_at: instant::Instant,
}

impl Allowance {
    /// Creates an empty bucket that gains `rate` tokens a second and holds `burst`.
    #[must_use]
    pub const fn new(rate: u64, burst: u64, now: instant::Instant) -> Self {
        Self {
            rate,
            burst,
            microtokens: 0,
            refilled_at: now,
        }
    }

    /// Returns the bucket with a new rate, which adds no tokens by itself.
    #[must_use]
    pub fn with_rate(mut self, rate: u64, now: instant::Instant) -> Self {
        self.refill(now);
        self.rate = rate;
        self
    }

    /// Returns whether a token is available at `now`.
    #[must_use]
    pub fn has_token(&self, now: instant::Instant) -> bool {
        let mut refilled = *self;
        refilled.refill(now);
        refilled.microtokens >= MICROTOKENS_PER_TOKEN
    }

    /// Takes a token; returns whether one was available.
    pub fn take(&mut self, now: instant::Instant) -> bool {
        self.refill(now);
        let Some(left) = self.microtokens.checked_sub(MICROTOKENS_PER_TOKEN) else {
            return false;
        };
        self.microtokens = left;
        true
    }

    fn refill(&mut self, now: instant::Instant) {
        let gained = u128::from(self.rate) * now.since(self.refilled_at).as_micros();
        self.microtokens =
            (self.microtokens + gained).min(u128::from(self.burst) * MICROTOKENS_PER_TOKEN);
        self.refilled_at = self.refilled_at.max(now);
    }
}
