//! Retry budget, which keeps a failure from multiplying the load.

use crate::instant;

const THOUSANDTHS_PER_RETRY: u64 = 1_000;

/// Token bucket that successes refill and retries drain.
///
/// The balance is in thousandths of a retry. A small constant refill lets a
/// host with little traffic retry too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    balance: u64,
    updated_at: instant::Instant,
}

impl RetryBudget {
    /// Maximum number of attempts of one request, including the first one.
    pub const MAX_ATTEMPTS: u8 = 3;
    /// Retries granted for a thousand successes.
    pub const RETRIES_PER_THOUSAND: u64 = 100;
    /// Maximum number of saved retries.
    pub const MAX_SAVED: u64 = 10;
    /// Retries granted per second regardless of successes.
    pub const RETRIES_PER_SECOND: u64 = 1;

    /// Creates a budget with [`Self::MAX_SAVED`] retries.
    #[must_use]
    pub const fn new(now: instant::Instant) -> Self {
        Self {
            balance: Self::MAX_SAVED * THOUSANDTHS_PER_RETRY,
            updated_at: now,
        }
    }

    /// Records a success, which refills the budget.
    pub fn record_success(&mut self) {
        self.deposit(Self::RETRIES_PER_THOUSAND);
    }

    /// Takes one retry from the budget; returns whether it is allowed.
    pub fn take(&mut self, now: instant::Instant) -> bool {
        let elapsed = u64::try_from(now.since(self.updated_at).as_millis()).unwrap_or(u64::MAX);
        if elapsed > 0 {
            self.deposit(elapsed.saturating_mul(Self::RETRIES_PER_SECOND));
            self.updated_at = now;
        }
        let Some(left) = self.balance.checked_sub(THOUSANDTHS_PER_RETRY) else {
            return false;
        };
        self.balance = left;
        true
    }

    fn deposit(&mut self, thousandths: u64) {
        self.balance = self
            .balance
            .saturating_add(thousandths)
            .min(Self::MAX_SAVED * THOUSANDTHS_PER_RETRY);
    }
}
