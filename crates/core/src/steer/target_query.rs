//! What one attempt asks of the load view.

use crate::name;

use super::draw;
use super::shift_state;

/// One attempt of a request that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// Seed of the request's draws.
    pub seed: draw::Seed,
    /// Number of the attempt, from 1.
    pub attempt: u8,
    /// Time until the deadline, in microseconds, or the maximum where there is none.
    pub remaining: u32,
    /// Targets that the request was sent to before, by index.
    pub tried: &'a [u32],
    /// The traffic shift that concerns the request.
    pub shift: Option<RegionShift<'a>>,
}

/// A traffic shift and the region it moves to.
#[derive(Clone, Copy, Debug)]
pub struct RegionShift<'a> {
    /// Region that takes the traffic on.
    pub to: &'a name::Region,
    /// How much moves.
    pub state: shift_state::ShiftState,
}

impl<'a> TargetQuery<'a> {
    /// Creates the first attempt of a request without a deadline.
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

    /// Sets the number of the attempt and the targets that were tried before.
    #[must_use]
    pub const fn with_tried(self, attempt: u8, tried: &'a [u32]) -> Self {
        Self {
            attempt,
            tried,
            ..self
        }
    }

    /// Sets the traffic shift that concerns the request.
    #[must_use]
    pub const fn with_shift(self, shift: Option<RegionShift<'a>>) -> Self {
        Self { shift, ..self }
    }
}
