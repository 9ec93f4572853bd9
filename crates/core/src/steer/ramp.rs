//! The steps of a traffic shift.

use std::time;

use crate::instant;

use super::hysteresis;
use super::shift_state;

const STEPS: u32 = 10;
const STEP_TIME: time::Duration = time::Duration::from_secs(10);
const STALE: time::Duration = time::Duration::from_secs(15);

const BAND: hysteresis::Thresholds = hysteresis::Thresholds {
    on: 8_500,
    off: 6_500,
    dwell: time::Duration::from_secs(5),
    stale: STALE,
};

/// A shift that grows in steps while the receiving region has headroom.
///
/// Each step leaves the receiving caches time to warm. The ramp stands while
/// measurements are missing and goes back a step while the receiver is busy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ramp {
    goal: u32,
    part: u32,
    stepped: instant::Instant,
    busy: hysteresis::Hysteresis,
}

impl Ramp {
    /// Creates a ramp toward moving `goal` basis points of the traffic.
    #[must_use]
    pub const fn new(goal: u32, now: instant::Instant) -> Self {
        Self {
            goal,
            part: 0,
            stepped: now,
            busy: hysteresis::Hysteresis::new(BAND),
        }
    }

    /// Returns the part that moves at present, in basis points.
    #[must_use]
    pub const fn part(&self) -> u32 {
        self.part
    }

    /// Takes the receiver's use of its slots and returns the part that moves.
    pub fn update(&mut self, load: Option<hysteresis::Measurement>, now: instant::Instant) -> u32 {
        let is_busy = self.busy.update(load, now);
        let is_fresh = load.is_some_and(|load| now.since(load.at) < STALE);
        if !is_fresh || now.since(self.stepped) < STEP_TIME {
            return self.part;
        }
        self.stepped = now;
        let step = self.goal.div_ceil(STEPS);
        self.part = if is_busy {
            self.part.saturating_sub(step)
        } else {
            self.goal.min(self.part + step)
        };
        self.part
    }

    /// Returns the shift as one request meets it.
    #[must_use]
    pub const fn state(&self, is_allowed: bool) -> shift_state::ShiftState {
        shift_state::ShiftState {
            part: self.part,
            is_allowed,
        }
    }
}
