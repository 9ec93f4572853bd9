//! Slow start of cold targets: which hosts may send to one, and at what rate.

use std::time;

use crate::instant;

use super::rate_gate;
use super::senders;

/// Hosts that may send to one cold target.
const SENDERS_PER_TARGET: usize = 3;
/// Ratio of the allowed rate in use; the rest covers hosts that disagree about the live hosts.
const USED_RATIO: f64 = 0.8;

/// The cold start of one target, with this host's share of its rate.
///
/// Protects targets that return together after a fault. A few hosts, chosen by
/// rendezvous hashing and so the same on every host, divide the request rate that
/// a cold target can handle. All live hosts count, whatever their phase, so that hosts which
/// start or leave do not come on top of those that divide the rate.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    cold_until: instant::Instant,
    gate: rate_gate::RateGate,
}

impl ColdStart {
    /// Creates the state of a warm target.
    #[must_use]
    pub const fn new(now: instant::Instant) -> Self {
        Self {
            cold_until: instant::Instant::ORIGIN,
            gate: rate_gate::RateGate::new(now),
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
        self.gate.set_rate(rate, 1.0, now);
    }

    /// Returns whether a token for one request is available.
    #[must_use]
    pub fn has_token(&self, now: instant::Instant) -> bool {
        self.gate.has_token(now)
    }

    /// Takes the token of a request that is sent.
    pub fn take(&mut self, now: instant::Instant) {
        self.gate.take(now);
    }

    /// Returns the token of a request that was not sent.
    pub fn put_back(&mut self) {
        self.gate.put_back();
    }
}

/// Returns the rate in requests per second at which a host may send to a cold target.
///
/// `allowed` is the rate of all hosts together. Rendezvous hashing selects the sending hosts.
#[must_use]
pub fn rate(target: &str, hosts: &[&str], own: &str, allowed: f64) -> f64 {
    let senders = senders::count_with(
        "cold target",
        target.as_bytes(),
        hosts,
        own,
        SENDERS_PER_TARGET,
    );
    senders.map_or(0.0, |senders| {
        let senders = u32::try_from(senders).unwrap_or(u32::MAX);
        allowed * USED_RATIO / f64::from(senders)
    })
}
