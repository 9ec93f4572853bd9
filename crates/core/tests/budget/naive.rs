//! The naive reference: one bucket that sees every event in order.

/// One bucket in exact integers, in millionths of a millionth of a token.
#[derive(Clone, Debug)]
pub struct Naive {
    rate: u128,
    burst: u128,
    level: u128,
    at: u64,
}

impl Naive {
    /// Creates a full bucket from tokens a second and tokens.
    pub fn new(rate: u64, burst: u64) -> Self {
        let burst = u128::from(burst) * 1_000_000_000_000;
        Self {
            rate: u128::from(rate) * 1_000_000,
            burst,
            level: burst,
            at: 0,
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
        let gained = self.rate * u128::from(at.saturating_sub(self.at));
        self.level = self.burst.min(self.level + gained);
        self.at = self.at.max(at);
    }
}
