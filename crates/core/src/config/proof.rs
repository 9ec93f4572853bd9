//! Evidence that no newer version was accepted before some instant.

use std::time;

use crate::instant;
use crate::unit;

/// Parts per million by which two hosts' monotonic clocks may drift apart.
pub const MAX_DRIFT_PPM: u32 = 1_000;

const PPM: u32 = 1_000_000;

/// Evidence that nothing newer than a version was accepted before an instant.
///
/// The instant is on the clock of the host that keeps the evidence, and is
/// taken before the question was sent, so no delay or pause makes it too young.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Proof {
    /// The version that was newest.
    pub version: unit::Version,
    /// The instant before which nothing newer was accepted.
    pub at: instant::Instant,
}

impl Proof {
    /// Creates the evidence of a question that was sent at `at`.
    #[must_use]
    pub const fn new(version: unit::Version, at: instant::Instant) -> Self {
        Self { version, at }
    }

    /// Takes over a peer's evidence of a given age, for a question sent at `asked`.
    ///
    /// Returns nothing when the evidence is older than the receiver's clock.
    #[must_use]
    pub fn relayed(
        version: unit::Version,
        asked: instant::Instant,
        age: time::Duration,
    ) -> Option<Self> {
        let age = lengthen_for_drift(age);
        let life = asked.since(instant::Instant::ORIGIN);
        (life >= age).then(|| Self::new(version, asked.before(age)))
    }

    /// Returns the time since the evidence held.
    #[must_use]
    pub const fn age(&self, now: instant::Instant) -> time::Duration {
        now.since(self.at)
    }

    /// Returns whether a host with a version in force may rely on its keys at `now`.
    #[must_use]
    pub fn is_fresh(
        &self,
        version: unit::Version,
        bound: time::Duration,
        now: instant::Instant,
    ) -> bool {
        version >= self.version && self.age(now) < bound
    }

    /// Returns the later of two pieces of evidence that a version in force can use.
    #[must_use]
    pub fn later(mine: Option<Self>, other: Option<Self>) -> Option<Self> {
        match (mine, other) {
            (Some(mine), Some(other)) if other.at > mine.at => Some(other),
            (None, other) => other,
            (mine, _) => mine,
        }
    }
}

/// Lengthens a span measured on another clock by the bound on drift.
#[must_use]
pub fn lengthen_for_drift(span: time::Duration) -> time::Duration {
    span.saturating_add(span.saturating_mul(MAX_DRIFT_PPM) / PPM)
}

/// Shortens a span that another clock will measure by the bound on drift.
#[must_use]
pub fn shorten_for_drift(span: time::Duration) -> time::Duration {
    span.saturating_sub(span.saturating_mul(MAX_DRIFT_PPM) / PPM)
}
