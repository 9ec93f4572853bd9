//! Query for a target, made for one attempt of a request.

use crate::name;

use super::draw;
use super::shift_state;

/// Query for a target, made for one attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// Seed of the request's random draws.
    pub seed: draw::Seed,
    /// Number of the attempt, starting at 1.
    pub attempt: u8,
    /// Time until the deadline, in microseconds; `u32::MAX` without a deadline.
    pub remaining: u32,
    /// Indexes of the targets that earlier attempts were sent to.
    pub tried: &'a [u32],
    /// Traffic shift that applies to the request.
    pub shift: Option<RegionShift<'a>>,
}

/// Traffic shift towards a region.
#[derive(Clone, Copy, Debug)]
pub struct RegionShift<'a> {
    /// Region that receives the traffic.
    pub to: &'a name::Region,
    /// Fraction that moves at present, and whether the cap allows more.
    pub state: shift_state::ShiftState,
}

impl<'a> TargetQuery<'a> {
    /// Creates the query for the first attempt of a request without a deadline.
    #[must_use]
    pub const fn new(seed: draw::Seed) -> Self {
        Self {
            seed,
            attempt: 1,
            remaining: u32::MAX,
            tried: &[],
            shift: None,
        }
    }

    /// Sets the time until the deadline, in microseconds.
    #[must_use]
    pub const fn with_remaining(self, remaining: u32) -> Self {
        Self { remaining, ..self }
    }

    /// Sets the number of the attempt and the targets of the earlier attempts.
    #[must_use]
    pub const fn with_tried(self, attempt: u8, tried: &'a [u32]) -> Self {
        Self {
            attempt,
            tried,
            ..self
        }
    }

    /// Sets the traffic shift that applies to the request.
    #[must_use]
    pub const fn with_shift(self, shift: Option<RegionShift<'a>>) -> Self {
        Self { shift, ..self }
    }
}
