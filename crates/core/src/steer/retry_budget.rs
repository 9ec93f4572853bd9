//! Budget of further attempts, so that a fault does not multiply load.

use crate::instant;

const MILLI: u64 = 1_000;

/// A token bucket that successes fill and further attempts empty.
///
/// The amounts are thousandths of an attempt. A steady trickle lets a host
/// with little traffic try again too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    millis: u64,
    at: instant::Instant,
}

impl RetryBudget {
    /// Attempts that a request gets at most, the first one included.
    pub const MAX_ATTEMPTS: u8 = 3;
    /// Further attempts for each thousand successes.
    pub const RETRIES_PER_THOUSAND: u64 = 100;
    /// Further attempts that may be saved up.
    pub const MAX_SAVED: u64 = 10;
    /// Further attempts a second without any success.
    pub const RETRIES_PER_SECOND: u64 = 1;

    /// Creates a full budget.
    #[must_use]
    pub const fn new(now: instant::Instant) -> Self {
        Self {
            millis: Self::MAX_SAVED * MILLI,
            at: now,
        }
    }

    /// Counts a success.
    pub fn record_success(&mut self) {
        self.fill(Self::RETRIES_PER_THOUSAND);
    }

    /// Takes one further attempt; returns whether it may be made.
    pub fn take(&mut self, now: instant::Instant) -> bool {
        let passed = u64::try_from(now.since(self.at).as_millis()).unwrap_or(u64::MAX);
        if passed > 0 {
            self.fill(passed.saturating_mul(Self::RETRIES_PER_SECOND));
            self.at = now;
        }
        let Some(rest) = self.millis.checked_sub(MILLI) else {
            return false;
        };
        self.millis = rest;
        true
    }

    fn fill(&mut self, millis: u64) {
        self.millis = self
            .millis
            .saturating_add(millis)
            .min(Self::MAX_SAVED * MILLI);
    }
}
