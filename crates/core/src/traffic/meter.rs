//! An exponentially decaying rate of events.

use std::time;

use crate::instant;

/// A rate of events per second, averaged over about one time constant.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    time_constant: time::Duration,
    level: f64,
    updated_at: instant::Instant,
}

impl Meter {
    /// Creates a meter without events.
    #[must_use]
    pub const fn new(time_constant: time::Duration) -> Self {
        Self {
            time_constant,
            level: 0.0,
            updated_at: instant::Instant::ORIGIN,
        }
    }

    /// Records an event with a weight.
    pub fn add(&mut self, weight: f64, now: instant::Instant) {
        self.level = self.rate(now) + weight / self.time_constant.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the weight of events per second.
    #[must_use]
    pub fn rate(&self, now: instant::Instant) -> f64 {
        let passed = now.since(self.updated_at).as_secs_f64();
        self.level * (-passed / self.time_constant.as_secs_f64()).exp()
    }
}
