//! Hysteresis switch that does not flap with delayed or noisy measurements.

use std::time;

use crate::instant;

/// Level with the time at which it was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Measurement {
    /// Level, in basis points.
    pub level: u32,
    /// Time of the measurement.
    pub at: instant::Instant,
}

/// Levels and times at which a switch changes its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Thresholds {
    /// Level at or above which the switch turns on, in basis points.
    pub on: u32,
    /// Level below which the switch turns off, in basis points.
    pub off: u32,
    /// Time for which a level must persist before the switch changes.
    pub dwell: time::Duration,
    /// Age at which a measurement is ignored.
    pub stale: time::Duration,
}

/// Switch with a dead band and a dwell time.
///
/// If measurements are delayed by less than the dwell time, the effect of one
/// change is measured before the next change. Without fresh measurements the
/// switch keeps its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hysteresis {
    thresholds: Thresholds,
    is_on: bool,
    crossed_at: Option<instant::Instant>,
}

impl Hysteresis {
    /// Creates a switch in the off state.
    #[must_use]
    pub const fn new(thresholds: Thresholds) -> Self {
        Self {
            thresholds,
            is_on: false,
            crossed_at: None,
        }
    }

    /// Returns whether the switch is on.
    #[must_use]
    pub const fn is_on(&self) -> bool {
        self.is_on
    }

    /// Applies the latest measurement and returns whether the switch is on.
    pub fn update(&mut self, measurement: Option<Measurement>, now: instant::Instant) -> bool {
        let fresh =
            measurement.filter(|measurement| now.since(measurement.at) < self.thresholds.stale);
        let Some(measurement) = fresh else {
            self.crossed_at = None;
            return self.is_on;
        };
        let wants_change = if self.is_on {
            measurement.level < self.thresholds.off
        } else {
            measurement.level >= self.thresholds.on
        };
        if !wants_change {
            self.crossed_at = None;
            return self.is_on;
        }
        let since = *self.crossed_at.get_or_insert(measurement.at);
        if measurement.at.since(since) >= self.thresholds.dwell {
            self.is_on = !self.is_on;
            self.crossed_at = None;
        }
        self.is_on
    }
}
