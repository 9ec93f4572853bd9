//! Requests that run in another region than planned.

use std::time;

use crate::instant;

use super::meter;

/// Time over which all requests are measured.
const PRESENT: time::Duration = time::Duration::from_millis(500);
/// Time over which the earlier strays are measured; longer than the windows that deployments compare.
const EARLIER: time::Duration = time::Duration::from_secs(3);
/// Part of all requests by which strays may exceed the earlier ones; what grows in two seconds moves,
/// less than 0.15 change their region in two seconds.
const MARGIN: f64 = 0.065;
/// Time for which unused room for strays is kept.
const KEPT: time::Duration = time::Duration::from_millis(250);

/// Requests that run in another region than planned.
///
/// It answers a sudden overload of one region: the part that overflows grows
/// step by step, so that no other region is flooded at once. Each request that
/// goes astray takes room that comes in with time, so that hosts with few
/// requests keep the pace as well.
#[derive(Clone, Copy, Debug)]
pub struct Spillover {
    all: meter::Meter,
    earlier: meter::Meter,
    room: f64,
    at: instant::Instant,
}

impl Default for Spillover {
    fn default() -> Self {
        Self {
            all: meter::Meter::new(PRESENT),
            earlier: meter::Meter::new(EARLIER),
            room: 0.0,
            at: instant::Instant::ORIGIN,
        }
    }
}

impl Spillover {
    /// Counts a request that is sent.
    pub fn record(&mut self, is_stray: bool, now: instant::Instant) {
        self.room = self.room_at(now);
        self.at = now;
        self.all.add(1.0, now);
        if is_stray {
            self.earlier.add(1.0, now);
            self.room -= 1.0;
        }
    }

    /// Returns whether one more request may run in another region than planned.
    #[must_use]
    pub fn allows_more(&self, now: instant::Instant) -> bool {
        self.room_at(now) >= 1.0
    }

    fn room_at(&self, now: instant::Instant) -> f64 {
        let rate = self.earlier.rate(now) + MARGIN * self.all.rate(now);
        let most = (rate * KEPT.as_secs_f64()).max(1.0);
        (self.room + rate * now.since(self.at).as_secs_f64()).min(most)
    }
}
