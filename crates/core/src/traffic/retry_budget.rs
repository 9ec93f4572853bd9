//! Budget of second sends to a service, over all hosts.

/// Part of what the deployment allows that is used, as a margin for hosts that join unseen.
const USED_PART: f64 = 0.6;

/// One host's budget of second sends to a service.
///
/// It answers a service that fails as a whole: repeats then stay a small part
/// of the requests, whatever the hosts do.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    max_level: f64,
    level: f64,
}

impl RetryBudget {
    /// Creates a full budget from the deployment's ratio and allowance, divided among `hosts`.
    #[must_use]
    pub fn new(ratio: f64, allowance: f64, hosts: u32) -> Self {
        let most = (allowance * USED_PART / f64::from(hosts.max(1))).max(1.0);
        Self {
            ratio: ratio * USED_PART,
            max_level: most,
            level: most,
        }
    }

    /// Changes the number of hosts that share the allowance.
    pub fn set_hosts(&mut self, allowance: f64, hosts: u32) {
        self.max_level = (allowance * USED_PART / f64::from(hosts.max(1))).max(1.0);
        self.level = self.level.min(self.max_level);
    }

    /// Counts a first send.
    pub fn deposit(&mut self) {
        self.level = (self.level + self.ratio).min(self.max_level);
    }

    /// Takes one second send; returns whether it may be made.
    pub fn withdraw(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
