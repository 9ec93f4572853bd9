//! A limit on the growth of spillover to regions other than the planned one.

use std::time;

use crate::instant;

use super::meter;

/// Time constant of the rate of all requests.
const REQUEST_TIME_CONSTANT: time::Duration = time::Duration::from_millis(500);
/// Time constant of the rate of past spills; longer than the windows that deployments compare.
const SPILL_TIME_CONSTANT: time::Duration = time::Duration::from_secs(3);
/// Ratio of all requests by which spills may exceed the past ones.
///
/// With it, less than 0.15 of the requests change their region within two seconds.
const GROWTH_RATIO: f64 = 0.065;
/// Time for which unused tokens accumulate.
const MAX_TOKEN_TIME: time::Duration = time::Duration::from_millis(250);

/// A token bucket that limits how fast spillover to other regions grows.
///
/// When one region is suddenly overloaded, the spilled ratio grows in steps, so that no
/// other region is flooded at once. Each spilled request takes a token, and tokens
/// accumulate with time, so that the limit also holds on hosts with few requests.
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
            all_requests: meter::Meter::new(REQUEST_TIME_CONSTANT),
            past_spills: meter::Meter::new(SPILL_TIME_CONSTANT),
            tokens: 0.0,
            refilled_at: instant::Instant::ORIGIN,
        }
    }
}

impl Spillover {
    /// Records a request that is sent.
    pub fn record(&mut self, is_spilled: bool, now: instant::Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
        self.all_requests.add(1.0, now);
        if is_spilled {
            self.past_spills.add(1.0, now);
            self.tokens -= 1.0;
        }
    }

    /// Returns whether one more request may run in a region other than the planned one.
    #[must_use]
    pub fn allows_more(&self, now: instant::Instant) -> bool {
        self.tokens_at(now) >= 1.0
    }

    fn tokens_at(&self, now: instant::Instant) -> f64 {
        let rate = self.past_spills.rate(now) + GROWTH_RATIO * self.all_requests.rate(now);
        let max_tokens = (rate * MAX_TOKEN_TIME.as_secs_f64()).max(1.0);
        (self.tokens + rate * now.since(self.refilled_at).as_secs_f64()).min(max_tokens)
    }
}
