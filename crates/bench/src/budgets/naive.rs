//! The single bucket that every way is measured against.

use skylark_core::budget;

const SCALE: u128 = 1_000_000;

/// One bucket that sees every event in order, in millionths of a millionth of a token.
#[derive(Clone, Debug)]
pub struct Naive {
    rate: u128,
    burst: u128,
    level: u128,
    at: u64,
}

impl Naive {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(whole: budget::Limit) -> Self {
        let burst = u128::from(whole.burst.as_micros()) * SCALE;
        Self {
            rate: u128::from(whole.rate.as_micros()),
            burst,
            level: burst,
            at: 0,
        }
    }

    /// Creates a bucket without tokens.
    #[must_use]
    pub fn new_empty(whole: budget::Limit) -> Self {
        Self {
            level: 0,
            ..Self::new(whole)
        }
    }

    /// Takes one token at a time in microseconds, if it is there.
    pub fn take(&mut self, at: u64) -> bool {
        let gained = self.rate * u128::from(at.saturating_sub(self.at));
        self.at = self.at.max(at);
        self.level = self.burst.min(self.level + gained);
        let token = SCALE * SCALE;
        if self.level < token {
            return false;
        }
        self.level -= token;
        true
    }
}
