//! A switch that lagging or noisy measurements do not make flap.

use std::time;

use crate::instant;

/// One measurement of a level and when it was true.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Measurement {
    /// The level, in basis points.
    pub level: u32,
    /// When the level was measured.
    pub at: instant::Instant,
}

/// Levels and times between which a switch keeps its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Thresholds {
    /// Level from which the switch goes on, in basis points.
    pub on: u32,
    /// Level below which the switch goes off, in basis points.
    pub off: u32,
    /// Time for which a level must hold before the switch follows.
    pub dwell: time::Duration,
    /// Age at which a measurement counts no more.
    pub stale: time::Duration,
}

/// A switch with a dead band and a dwell time.
///
/// With measurements that lag by less than the dwell time, the effect of one
/// change is seen before the next. Without fresh measurements it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hysteresis {
    band: Thresholds,
    is_on: bool,
    crossed: Option<instant::Instant>,
}

impl Hysteresis {
    /// Creates a switch that is off.
    #[must_use]
    pub const fn new(band: Thresholds) -> Self {
        Self {
            band,
            is_on: false,
            crossed: None,
        }
    }

    /// Returns whether the switch is on.
    #[must_use]
    pub const fn is_on(&self) -> bool {
        self.is_on
    }

    /// Takes the latest measurement and returns whether the switch is on.
    pub fn update(&mut self, measure: Option<Measurement>, now: instant::Instant) -> bool {
        let fresh = measure.filter(|measure| now.since(measure.at) < self.band.stale);
        let Some(measure) = fresh else {
            self.crossed = None;
            return self.is_on;
        };
        let wants_change = if self.is_on {
            measure.level < self.band.off
        } else {
            measure.level >= self.band.on
        };
        if !wants_change {
            self.crossed = None;
            return self.is_on;
        }
        let since = *self.crossed.get_or_insert(measure.at);
        if measure.at.since(since) >= self.band.dwell {
            self.is_on = !self.is_on;
            self.crossed = None;
        }
        self.is_on
    }
}
