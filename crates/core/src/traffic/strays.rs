//! Requests that run in another region than planned.

use std::time;

use crate::instant;

use super::meter;

/// Time over which the present part is measured.
const PRESENT: time::Duration = time::Duration::from_millis(500);
/// Time over which the earlier part is measured; longer than the windows that deployments compare.
const EARLIER: time::Duration = time::Duration::from_secs(3);
/// Part by which the present may exceed the earlier one; what grows in two seconds stays under 0.15.
const MARGIN: f64 = 0.065;

/// Requests that run in another region than planned.
///
/// It answers a sudden overload of one region: the part that overflows grows
/// step by step, so that no other region is flooded at once.
#[derive(Clone, Copy, Debug)]
pub struct Strays {
    all: meter::Meter,
    present: meter::Meter,
    earlier: meter::Meter,
}

impl Default for Strays {
    fn default() -> Self {
        Self {
            all: meter::Meter::new(PRESENT),
            present: meter::Meter::new(PRESENT),
            earlier: meter::Meter::new(EARLIER),
        }
    }
}

impl Strays {
    /// Counts a request that is sent.
    pub fn count(&mut self, is_stray: bool, now: instant::Instant) {
        self.all.add(1.0, now);
        if is_stray {
            self.present.add(1.0, now);
            self.earlier.add(1.0, now);
        }
    }

    /// Returns whether one more request may run in another region than planned.
    #[must_use]
    pub fn may_grow(&self, now: instant::Instant) -> bool {
        let growth = self.present.rate(now) - self.earlier.rate(now);
        growth <= MARGIN * self.all.rate(now)
    }
}
