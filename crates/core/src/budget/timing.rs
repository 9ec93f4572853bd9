//! Durations on which limiters and owners of budgets agree.

use std::time;

use super::amount;
use crate::config;

const PARTS_PER_MILLION: u64 = 1_000_000;

/// Durations on which limiters and owners of budgets agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two requests of a limiter that has enough tokens.
    pub report_interval: time::Duration,
    /// Time after which a limiter gives up waiting for a reply.
    pub ask_timeout: time::Duration,
    /// Period of demand for which a limiter keeps tokens, besides a request's round trip.
    pub horizon: time::Duration,
    /// Maximum time for which tokens are lent.
    pub loan_ttl: time::Duration,
    /// Maximum time for which an owner relies on a reading of the claimed slots.
    pub reading_ttl: time::Duration,
    /// Pause of a limiter's process after which it gives up its slots.
    pub max_pause: time::Duration,
    /// Maximum drift of any clock, in parts per million.
    pub max_drift_ppm: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            report_interval: time::Duration::from_millis(100),
            ask_timeout: time::Duration::from_millis(250),
            horizon: time::Duration::from_millis(150),
            loan_ttl: time::Duration::from_secs(1),
            reading_ttl: time::Duration::from_millis(1_500),
            max_pause: time::Duration::from_secs(5),
            max_drift_ppm: config::MAX_DRIFT_PPM,
        }
    }
}

impl Timing {
    /// Returns a rate that, counted by a clock within the drift bound, never exceeds `rate`.
    #[must_use]
    pub fn slow_for_drift(&self, rate: amount::Amount) -> amount::Amount {
        rate.scaled(
            PARTS_PER_MILLION - u64::from(self.max_drift_ppm),
            PARTS_PER_MILLION,
        )
    }

    /// Returns a span that ends on this clock before `span` ends on any other clock.
    ///
    /// The clocks may drift by `d` in opposite directions: `1 - 2d < (1 - d) / (1 + d)`.
    #[must_use]
    pub fn shorten_for_drift(&self, span: time::Duration) -> time::Duration {
        let micros = amount::Amount::from_micros(micros(span));
        let factor = PARTS_PER_MILLION - 2 * u64::from(self.max_drift_ppm);
        time::Duration::from_micros(micros.scaled(factor, PARTS_PER_MILLION).as_micros())
    }

    /// Returns a span that ends on this clock after `span` ended on any other clock.
    ///
    /// The clocks may drift by `d` in opposite directions: `1 + 3d > (1 + d) / (1 - d)`.
    #[must_use]
    pub fn lengthen_for_drift(&self, span: time::Duration) -> time::Duration {
        let micros = amount::Amount::from_micros(micros(span));
        let factor = PARTS_PER_MILLION + 3 * u64::from(self.max_drift_ppm);
        time::Duration::from_micros(micros.scaled(factor, PARTS_PER_MILLION).as_micros() + 1)
    }

    /// Returns the time from the end of an owner's term until all its loans have expired.
    #[must_use]
    pub fn succession_delay(&self) -> time::Duration {
        self.lengthen_for_drift(self.loan_ttl)
    }

    /// Returns the time from the claim of a slot until its tokens may be spent.
    ///
    /// By then no owner relies on a reading from before the claim, and the grants that
    /// included the slot's share have expired.
    #[must_use]
    pub fn settling_delay(&self) -> time::Duration {
        self.lengthen_for_drift(self.reading_ttl + self.loan_ttl)
    }
}

fn micros(span: time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
