//! Reference token bucket, which processes every event in the true order.

/// A token bucket in integers, in millionths of a millionth of a token.
#[derive(Clone, Debug)]
pub struct Reference {
    rate: u128,
    burst: u128,
    level: u128,
    refilled_at: u64,
}

impl Reference {
    /// Creates a full bucket from tokens a second and a burst in tokens.
    pub fn new(rate: u64, burst: u64) -> Self {
        let burst = u128::from(burst) * 1_000_000_000_000;
        Self {
            rate: u128::from(rate) * 1_000_000,
            burst,
            level: burst,
            refilled_at: 0,
        }
    }

    /// Changes the rate and burst at a true time in microseconds.
    pub fn resize(&mut self, rate: u64, burst: u64, at: u64) {
        self.refill(at);
        let resized = Self::new(rate, burst);
        self.rate = resized.rate;
        self.burst = resized.burst;
        self.level = self.level.min(resized.burst);
    }

    /// Takes tokens at a true time in microseconds, all or none.
    pub fn take(&mut self, tokens: u64, at: u64) -> bool {
        self.refill(at);
        let need = u128::from(tokens) * 1_000_000_000_000;
        if need > self.level {
            return false;
        }
        self.level -= need;
        true
    }

    fn refill(&mut self, at: u64) {
        let gained = self.rate * u128::from(at.saturating_sub(self.refilled_at));
        self.level = self.burst.min(self.level + gained);
        self.refilled_at = self.refilled_at.max(at);
    }
}
