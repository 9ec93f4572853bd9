//! Rate of events that decays exponentially with time.

use std::time;

use crate::instant;

/// Each event moves the rate a quarter of the way towards 100%, or towards 0.
const GAIN_DIVISOR: u32 = 4;

/// Exponentially weighted rate in basis points, halved by each half-life without events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecayingRate {
    level: u32,
    updated_at: instant::Instant,
}

impl DecayingRate {
    /// Time in which the rate halves without events.
    pub const HALF_LIFE: time::Duration = time::Duration::from_secs(1);

    /// Returns the rate at `now`, in basis points.
    #[must_use]
    pub fn level(&self, now: instant::Instant) -> u32 {
        let half = Self::HALF_LIFE.as_micros();
        let elapsed = now.since(self.updated_at).as_micros();
        let halvings = u32::try_from(elapsed / half).unwrap_or(u32::MAX);
        let halved = self.level.checked_shr(halvings).unwrap_or(0);
        let remainder = u64::try_from(elapsed % half).unwrap_or(0);
        let half = u64::try_from(half).unwrap_or(u64::MAX);
        let decayed = u64::from(halved) * remainder / (2 * half);
        halved - u32::try_from(decayed).unwrap_or(halved)
    }

    /// Records an event of the measured kind, which raises the rate.
    pub fn record_event(&mut self, now: instant::Instant) {
        let level = self.level(now);
        self.level = level + (super::WHOLE_BASIS_POINTS - level) / GAIN_DIVISOR;
        self.updated_at = now;
    }

    /// Records an event of another kind, which lowers the rate.
    pub fn record_other(&mut self, now: instant::Instant) {
        let level = self.level(now);
        self.level = level - level / GAIN_DIVISOR;
        self.updated_at = now;
    }
}
