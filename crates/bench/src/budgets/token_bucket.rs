//! Exact token bucket that serves as the reference for every strategy.

use skylark_core::budget;

const MILLIONTHS: u128 = 1_000_000;

/// A token bucket that sees every request in order.
///
/// It counts in millionths of a millionth of a token, so that no rounding occurs.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: u128,
    burst: u128,
    tokens: u128,
    updated_at: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(limit: budget::Limit) -> Self {
        let burst = u128::from(limit.burst.as_micros()) * MILLIONTHS;
        Self {
            rate: u128::from(limit.rate.as_micros()),
            burst,
            tokens: burst,
            updated_at: 0,
        }
    }

    /// Creates a bucket without tokens.
    #[must_use]
    pub fn new_empty(limit: budget::Limit) -> Self {
        Self {
            tokens: 0,
            ..Self::new(limit)
        }
    }

    /// Takes one token at time `at` in microseconds; returns whether there was one.
    pub fn take(&mut self, at: u64) -> bool {
        let gained = self.rate * u128::from(at.saturating_sub(self.updated_at));
        self.updated_at = self.updated_at.max(at);
        self.tokens = self.burst.min(self.tokens + gained);
        let token = MILLIONTHS * MILLIONTHS;
        if self.tokens < token {
            return false;
        }
        self.tokens -= token;
        true
    }
}
