//! Which hosts may send to a cold target, and how fast.

use std::time;

use crate::budget;
use crate::instant;

use super::hash;
use super::pace;

/// Hosts that may send to one cold target.
const KEEPERS: usize = 3;
/// Part of the allowed rate that the keepers use, as a margin for hosts that know other hosts.
const USED_PART: f64 = 0.8;
const MICROS: f64 = 1_000_000.0;

/// What a host knows of a target's cold start.
///
/// It answers targets that come back together after a fault: a few hosts, the
/// same for every host, divide the rate that a cold target bears.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    until: instant::Instant,
    bucket: budget::Bucket,
}

impl Cold {
    /// Creates the state of a target that is warm.
    #[must_use]
    pub const fn new(now: instant::Instant) -> Self {
        Self {
            until: instant::Instant::ORIGIN,
            bucket: budget::Bucket::new(budget::Limit::ZERO, now),
        }
    }

    /// Keeps the target cold for a time from `now` at least.
    pub fn extend(&mut self, span: time::Duration, now: instant::Instant) {
        self.until = self.until.max(now + span);
    }

    /// Returns whether the target is cold.
    #[must_use]
    pub fn is_cold(&self, now: instant::Instant) -> bool {
        now < self.until
    }

    /// Sets the rate of this host; none where it is not a keeper.
    pub fn set_rate(&mut self, rate: f64, now: instant::Instant) {
        let micros = budget::Amount::from_micros(pace::whole(rate * MICROS));
        let burst = if rate > 0.0 {
            budget::Amount::TOKEN
        } else {
            budget::Amount::ZERO
        };
        self.bucket.resize(budget::Limit::new(micros, burst), now);
    }

    /// Returns whether one request may be sent now.
    #[must_use]
    pub fn has_token(&self, now: instant::Instant) -> bool {
        let mut bucket = self.bucket;
        bucket.refill(bucket.limit().burst, now);
        bucket.level() >= budget::Amount::TOKEN
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: instant::Instant) {
        self.bucket.refill(self.bucket.limit().burst, now);
        self.bucket.take(budget::Amount::TOKEN);
    }
}

/// Returns the requests a second that a host may send to a cold target.
#[must_use]
pub fn rate(target: &str, hosts: &[&str], own: &str, allowed: f64) -> f64 {
    let object = hash::Object::new("cold target", target.as_bytes());
    let mut ranked: Vec<&str> = hosts.to_vec();
    ranked.sort_by(|a, b| object.rank(b, 1.0).total_cmp(&object.rank(a, 1.0)));
    ranked.truncate(KEEPERS);
    if !ranked.contains(&own) {
        return 0.0;
    }
    let keepers = u32::try_from(ranked.len()).unwrap_or(u32::MAX);
    allowed * USED_PART / f64::from(keepers)
}
