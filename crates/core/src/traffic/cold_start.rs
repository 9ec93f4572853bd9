//! Slow start of cold targets: which hosts may send to one, and at what rate.

use std::time;

use crate::budget;
use crate::instant;

use super::hash;
use super::processing_time;

/// Hosts that may send to one cold target.
const SENDERS_PER_TARGET: usize = 3;
/// Ratio of the allowed rate in use; the rest covers hosts that disagree about the live hosts.
const USED_RATIO: f64 = 0.8;
/// Millionths of a token in one token.
const MICROS_PER_TOKEN: f64 = 1_000_000.0;

/// The cold start of one target, with a token bucket for this host's share of its rate.
///
/// Protects targets that return together after a fault. A few hosts, chosen by
/// rendezvous hashing and so the same on every host, divide the request rate that
/// a cold target can handle.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    cold_until: instant::Instant,
    bucket: budget::Bucket,
}

impl ColdStart {
    /// Creates the state of a warm target.
    #[must_use]
    pub const fn new(now: instant::Instant) -> Self {
        Self {
            cold_until: instant::Instant::ORIGIN,
            bucket: budget::Bucket::new(budget::Limit::ZERO, now),
        }
    }

    /// Keeps the target cold for at least `duration` from `now`.
    pub fn extend(&mut self, duration: time::Duration, now: instant::Instant) {
        self.cold_until = self.cold_until.max(now + duration);
    }

    /// Returns whether the target is cold.
    #[must_use]
    pub fn is_cold(&self, now: instant::Instant) -> bool {
        now < self.cold_until
    }

    /// Sets this host's rate in requests per second; 0 if it may not send.
    pub fn set_rate(&mut self, rate: f64, now: instant::Instant) {
        let micros = budget::Amount::from_micros(processing_time::to_u64(rate * MICROS_PER_TOKEN));
        let burst = if rate > 0.0 {
            budget::Amount::TOKEN
        } else {
            budget::Amount::ZERO
        };
        self.bucket.resize(budget::Limit::new(micros, burst), now);
    }

    /// Returns whether a token for one request is available.
    #[must_use]
    pub fn has_token(&self, now: instant::Instant) -> bool {
        let mut bucket = self.bucket;
        bucket.refill(bucket.limit().burst, now);
        bucket.level() >= budget::Amount::TOKEN
    }

    /// Takes the token of a request that is sent.
    pub fn take(&mut self, now: instant::Instant) {
        self.bucket.refill(self.bucket.limit().burst, now);
        self.bucket.take(budget::Amount::TOKEN);
    }
}

/// Returns the rate in requests per second at which a host may send to a cold target.
///
/// `allowed` is the rate of all hosts together. Rendezvous hashing selects the sending hosts.
#[must_use]
pub fn rate(target: &str, hosts: &[&str], own: &str, allowed: f64) -> f64 {
    let key = hash::HashKey::new("cold target", target.as_bytes());
    let mut ranked: Vec<&str> = hosts.to_vec();
    ranked.sort_by(|a, b| key.score(b, 1.0).total_cmp(&key.score(a, 1.0)));
    ranked.truncate(SENDERS_PER_TARGET);
    if !ranked.contains(&own) {
        return 0.0;
    }
    let senders = u32::try_from(ranked.len()).unwrap_or(u32::MAX);
    allowed * USED_RATIO / f64::from(senders)
}
