//! Stepwise ramp of a traffic shift.

use std::time;

use crate::instant;

use super::hysteresis;
use super::shift_state;

/// Number of steps to the goal.
const STEP_COUNT: u32 = 10;
/// Pause after each step, in which the receiving region's caches warm up.
const STEP_PERIOD: time::Duration = time::Duration::from_secs(10);
/// Age from which on a measurement counts as missing.
const MAX_MEASUREMENT_AGE: time::Duration = time::Duration::from_secs(15);

/// Slot usage at which the receiving region becomes busy and stops being busy.
const BUSY_THRESHOLDS: hysteresis::Thresholds = hysteresis::Thresholds {
    on: 8_500,
    off: 6_500,
    dwell: time::Duration::from_secs(5),
    stale: MAX_MEASUREMENT_AGE,
};

/// Traffic shift that grows in steps while the receiving region has headroom.
///
/// The pause after each step lets the receiving region's caches warm up. The
/// ramp holds while measurements are missing, and goes back one step at a time
/// while the receiving region is busy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ramp {
    goal: u32,
    part: u32,
    stepped_at: instant::Instant,
    busy: hysteresis::Hysteresis,
}

impl Ramp {
    /// Creates a ramp from zero to `goal` basis points of the traffic.
    #[must_use]
    pub const fn new(goal: u32, now: instant::Instant) -> Self {
        Self {
            goal,
            part: 0,
            stepped_at: now,
            busy: hysteresis::Hysteresis::new(BUSY_THRESHOLDS),
        }
    }

    /// Returns the fraction that moves at present, in basis points.
    #[must_use]
    pub const fn part(&self) -> u32 {
        self.part
    }

    /// Applies the receiving region's slot usage; returns the fraction that moves, in basis points.
    pub fn update(&mut self, usage: Option<hysteresis::Measurement>, now: instant::Instant) -> u32 {
        let is_busy = self.busy.update(usage, now);
        let is_fresh = usage.is_some_and(|usage| now.since(usage.at) < MAX_MEASUREMENT_AGE);
        if !is_fresh || now.since(self.stepped_at) < STEP_PERIOD {
            return self.part;
        }
        self.stepped_at = now;
        let step = self.goal.div_ceil(STEP_COUNT);
        self.part = if is_busy {
            self.part.saturating_sub(step)
        } else {
            self.goal.min(self.part + step)
        };
        self.part
    }

    /// Returns the shift as it applies to one request.
    #[must_use]
    pub const fn state(&self, is_allowed: bool) -> shift_state::ShiftState {
        shift_state::ShiftState {
            part: self.part,
            is_allowed,
        }
    }
}
