//! A token bucket for one host's part of a target's request rate.

use crate::budget;
use crate::instant;

use super::processing_time;

/// Millionths of a token in one token.
const MICROS_PER_TOKEN: f64 = 1_000_000.0;

/// A token bucket for one host's part of a target's request rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateGate {
    bucket: budget::Bucket,
}

impl RateGate {
    /// Creates a gate that lets nothing pass.
    pub(super) const fn new(now: instant::Instant) -> Self {
        Self {
            bucket: budget::Bucket::new(budget::Limit::ZERO, now),
        }
    }

    /// Sets the rate in requests per second and the requests that may be saved up, one at least;
    /// a rate of 0 lets nothing pass.
    pub(super) fn set_rate(&mut self, rate: f64, burst: f64, now: instant::Instant) {
        let tokens = |number: f64| {
            budget::Amount::from_micros(processing_time::to_u64(number * MICROS_PER_TOKEN))
        };
        let burst = if rate > 0.0 {
            tokens(burst).max(budget::Amount::TOKEN)
        } else {
            budget::Amount::ZERO
        };
        self.bucket
            .resize(budget::Limit::new(tokens(rate), burst), now);
    }

    /// Returns whether a token for one request is available.
    pub(super) fn has_token(&self, now: instant::Instant) -> bool {
        let mut bucket = self.bucket;
        bucket.refill(bucket.limit().burst, now);
        bucket.level() >= budget::Amount::TOKEN
    }

    /// Takes the token of a request that is sent.
    pub(super) fn take(&mut self, now: instant::Instant) {
        self.bucket.refill(self.bucket.limit().burst, now);
        self.bucket.take(budget::Amount::TOKEN);
    }
    /// Returns the token of a request that was not sent.
    pub(super) fn put_back(&mut self) {
        let burst = self.bucket.limit().burst;
        self.bucket.put(budget::Amount::TOKEN, burst);
    }
}
