//! Times that requests of one route take at a service's targets.

use std::time;

use crate::steer;

/// Places in an object's order that are told apart: its own target, the next one, all others.
const ORDERS: usize = 3;
/// Parts of the objective that are reckoned with before any answer, by place.
const FIRST_PARTS: [f64; ORDERS] = [0.4, 0.6, 0.95];

/// Times that requests of one route take, by the target's place in the object's order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    means: [steer::Mean; ORDERS],
}

impl Pace {
    /// Adds the time of a request without the way and the wait.
    pub fn add(&mut self, order: usize, work: time::Duration) {
        self.means[order.min(ORDERS - 1)].add(micros(work).into());
    }

    /// Returns the time that a request is expected to take.
    #[must_use]
    pub fn work(&self, order: usize, objective: time::Duration) -> time::Duration {
        let order = order.min(ORDERS - 1);
        let first = micros(objective.mul_f64(FIRST_PARTS[order]));
        let mean = self.means[order].get(first);
        time::Duration::from_micros(mean.into())
    }
}

/// Returns a duration in whole microseconds, as far as they fit.
#[must_use]
pub fn micros(span: time::Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}

/// Returns the whole part of a number that is not negative.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates at both ends"
)]
pub fn whole(number: f64) -> u64 {
    number as u64
}
