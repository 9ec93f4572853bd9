//! A level that rises with events and fades with time.

use std::time;

use crate::instant;

const GAIN: u32 = 4;

/// A level in basis points that halves with each half-life without events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecayingRate {
    level: u32,
    at: instant::Instant,
}

impl DecayingRate {
    /// Time in which the level halves without events.
    pub const HALF_LIFE: time::Duration = time::Duration::from_secs(1);

    /// Returns the level at `now`, in basis points.
    #[must_use]
    pub fn level(&self, now: instant::Instant) -> u32 {
        let half = Self::HALF_LIFE.as_micros();
        let passed = now.since(self.at).as_micros();
        let halvings = u32::try_from(passed / half).unwrap_or(u32::MAX);
        let low = self.level.checked_shr(halvings).unwrap_or(0);
        let rest = u64::try_from(passed % half).unwrap_or(0);
        let half = u64::try_from(half).unwrap_or(u64::MAX);
        let faded = u64::from(low) * rest / (2 * half);
        low - u32::try_from(faded).unwrap_or(low)
    }

    /// Counts an event of the kind that the level measures.
    pub fn record_event(&mut self, now: instant::Instant) {
        let level = self.level(now);
        self.level = level + (super::WHOLE_BASIS_POINTS - level) / GAIN;
        self.at = now;
    }

    /// Counts an event of the other kind.
    pub fn record_other(&mut self, now: instant::Instant) {
        let level = self.level(now);
        self.level = level - level / GAIN;
        self.at = now;
    }
}
