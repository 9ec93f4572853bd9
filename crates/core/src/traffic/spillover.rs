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
    all_requests: meter::Meter,
    past_spills: meter::Meter,
    tokens: f64,
    refilled_at: instant::Instant,
}

impl Default for Spillover {
    fn default() -> Self {
        Self {
            all_requests: meter::Meter::new(PRESENT),
            past_spills: meter::Meter::new(EARLIER),
            tokens: 0.0,
            refilled_at: instant::Instant::ORIGIN,
        }
    }
}

impl Spillover {
    /// Counts a request that is sent.
    pub fn record(&mut self, is_stray: bool, now: instant::Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
        self.all_requests.add(1.0, now);
        if is_stray {
            self.past_spills.add(1.0, now);
            self.tokens -= 1.0;
        }
    }

    /// Returns whether one more request may run in another region than planned.
    #[must_use]
    pub fn allows_more(&self, now: instant::Instant) -> bool {
        self.tokens_at(now) >= 1.0
    }

    fn tokens_at(&self, now: instant::Instant) -> f64 {
        let rate = self.past_spills.rate(now) + MARGIN * self.all_requests.rate(now);
        let most = (rate * KEPT.as_secs_f64()).max(1.0);
        (self.tokens + rate * now.since(self.refilled_at).as_secs_f64()).min(most)
    }
}
