//! Times that owners and holders agree on.

use std::time;

use super::amount;
use crate::config;

const MILLION: u64 = 1_000_000;

/// Times that owners and holders of budgets agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two asks of a holder that is not short of tokens.
    pub report_interval: time::Duration,
    /// Time after which a holder gives up an unanswered ask.
    pub ask_timeout: time::Duration,
    /// Time for which a holder keeps tokens in hand, on top of an ask's round trip.
    pub horizon: time::Duration,
    /// Longest life of a grant.
    pub loan_ttl: time::Duration,
    /// Longest time for which an owner relies on a reading of the claimed slots.
    pub reading_ttl: time::Duration,
    /// Gap in a holder's own activity after which it gives up its slots.
    pub max_pause: time::Duration,
    /// Bound on the drift of any clock, in parts per million.
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
    /// Returns a rate that a clock within the drift bound never exceeds.
    #[must_use]
    pub fn slow_for_drift(&self, rate: amount::Amount) -> amount::Amount {
        rate.scaled(MILLION - u64::from(self.max_drift_ppm), MILLION)
    }

    /// Returns a span that surely ends here before `span` ends on another clock.
    #[must_use]
    pub fn shorten_for_drift(&self, span: time::Duration) -> time::Duration {
        let micros = amount::Amount::from_micros(micros(span));
        let factor = MILLION - 2 * u64::from(self.max_drift_ppm);
        time::Duration::from_micros(micros.scaled(factor, MILLION).as_micros())
    }

    /// Returns a span that surely ends here after `span` ended on another clock.
    #[must_use]
    pub fn lengthen_for_drift(&self, span: time::Duration) -> time::Duration {
        let micros = amount::Amount::from_micros(micros(span));
        let factor = MILLION + 3 * u64::from(self.max_drift_ppm);
        time::Duration::from_micros(micros.scaled(factor, MILLION).as_micros() + 1)
    }

    /// Returns the time from the end of an owner's tenure until its loans have surely ended.
    #[must_use]
    pub fn succession_delay(&self) -> time::Duration {
        self.lengthen_for_drift(self.loan_ttl)
    }

    /// Returns the time from a slot's claim until it may be spent from.
    ///
    /// By then no owner relies on a reading from before the claim, and the
    /// grants beyond what the slot leaves it have expired.
    #[must_use]
    pub fn settling_delay(&self) -> time::Duration {
        self.lengthen_for_drift(self.reading_ttl + self.loan_ttl)
    }
}

fn micros(span: time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
