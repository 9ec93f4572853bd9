//! Freshness proof: bounds the staleness of a configuration version on one host.

use std::time;

use crate::instant;
use crate::unit;

/// Maximum drift between two hosts' monotonic clocks, in parts per million.
pub const MAX_DRIFT_PPM: u32 = 1_000;

const PPM: u32 = 1_000_000;

/// Proof that no version newer than `version` was committed before `at`.
///
/// The instant is on the clock of the host that holds the proof and is taken
/// before the query is sent, so no network delay or pause of the process can
/// make the proof look fresher than it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Proof {
    /// The newest version at that instant.
    pub version: unit::Version,
    /// The instant before which no newer version was committed.
    pub at: instant::Instant,
}

impl Proof {
    /// Creates the proof that the reply to a query sent at `at` gives.
    #[must_use]
    pub const fn new(version: unit::Version, at: instant::Instant) -> Self {
        Self { version, at }
    }

    /// Creates a proof from a peer's proof of age `age`, received for a query sent at `asked`.
    ///
    /// The age is lengthened for clock drift. Returns `None` when the proof is
    /// older than the receiver's time origin, which its clock cannot express.
    #[must_use]
    pub fn relayed(
        version: unit::Version,
        asked: instant::Instant,
        age: time::Duration,
    ) -> Option<Self> {
        let age = lengthen_for_drift(age);
        let uptime = asked.since(instant::Instant::ORIGIN);
        (uptime >= age).then(|| Self::new(version, asked.before(age)))
    }

    /// Returns the time since the proof's instant.
    #[must_use]
    pub const fn age(&self, now: instant::Instant) -> time::Duration {
        now.since(self.at)
    }

    /// Returns whether a host with `version` in force may rely on its API keys at `now`.
    ///
    /// The version must be at least as new as the proven one, and the proof
    /// younger than `bound`.
    #[must_use]
    pub fn is_fresh(
        &self,
        version: unit::Version,
        bound: time::Duration,
        now: instant::Instant,
    ) -> bool {
        version >= self.version && self.age(now) < bound
    }

    /// Returns the proof with the later instant, `mine` on a tie.
    ///
    /// Both must be proofs that the version in force can use.
    #[must_use]
    pub fn later(mine: Option<Self>, other: Option<Self>) -> Option<Self> {
        match (mine, other) {
            (Some(mine), Some(other)) if other.at > mine.at => Some(other),
            (None, other) => other,
            (mine, _) => mine,
        }
    }
}

/// Returns the longest time on this clock in which another host's clock counts `duration`.
#[must_use]
pub fn lengthen_for_drift(duration: time::Duration) -> time::Duration {
    duration.saturating_add(duration.saturating_mul(MAX_DRIFT_PPM) / PPM)
}

/// Returns the shortest time on this clock in which another host's clock counts `duration`.
#[must_use]
pub fn shorten_for_drift(duration: time::Duration) -> time::Duration {
    duration.saturating_sub(duration.saturating_mul(MAX_DRIFT_PPM) / PPM)
}
