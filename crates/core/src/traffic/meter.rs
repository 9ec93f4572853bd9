//! A rate of events that fades with time.

use std::time;

use crate::instant;

/// Events a second, averaged over about a time constant.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    time_constant: time::Duration,
    level: f64,
    updated_at: instant::Instant,
}

impl Meter {
    /// Creates a meter without events.
    #[must_use]
    pub const fn new(constant: time::Duration) -> Self {
        Self {
            time_constant: constant,
            level: 0.0,
            updated_at: instant::Instant::ORIGIN,
        }
    }

    /// Counts an event of some weight.
    pub fn add(&mut self, weight: f64, now: instant::Instant) {
        self.level = self.rate(now) + weight / self.time_constant.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the weight of events a second.
    #[must_use]
    pub fn rate(&self, now: instant::Instant) -> f64 {
        let passed = now.since(self.updated_at).as_secs_f64();
        self.level * (-passed / self.time_constant.as_secs_f64()).exp()
    }
}
