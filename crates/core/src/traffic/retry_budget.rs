//! One host's share of the retry budget of a service.

/// Ratio of the deployment's limits in use; the rest covers hosts that joined unnoticed.
const USED_RATIO: f64 = 0.6;

/// One host's share of the retry budget of a service.
///
/// Requests add to the budget and retries take from it. So retries stay a small
/// ratio of the requests of all hosts, even when the whole service fails.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    max_level: f64,
    level: f64,
}

impl RetryBudget {
    /// Creates a full budget from the deployment's ratio and its allowance, divided among `hosts`.
    #[must_use]
    pub fn new(ratio: f64, allowance: f64, hosts: u32) -> Self {
        let max_level = (allowance * USED_RATIO / f64::from(hosts.max(1))).max(1.0);
        Self {
            ratio: ratio * USED_RATIO,
            max_level,
            level: max_level,
        }
    }

    /// Sets the allowance and the number of hosts that share it.
    pub fn set_hosts(&mut self, allowance: f64, hosts: u32) {
        self.max_level = (allowance * USED_RATIO / f64::from(hosts.max(1))).max(1.0);
        self.level = self.level.min(self.max_level);
    }

    /// Adds the retry ratio of one request to the budget.
    pub fn deposit(&mut self) {
        self.level = (self.level + self.ratio).min(self.max_level);
    }

    /// Takes one retry from the budget; returns whether it is allowed.
    pub fn withdraw(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// Returns a retry that was not sent.
    pub fn put_back(&mut self) {
        self.level = (self.level + 1.0).min(self.max_level);
    }
}
