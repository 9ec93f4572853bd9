//! Monotonic time, passed to decisions as an argument.

use std::fmt;
use std::ops;
use std::time;

/// A point in monotonic time, in microseconds since the process's time origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Instant(u64);

impl Instant {
    /// The process's time origin.
    pub const ORIGIN: Self = Self(0);

    /// Creates an instant from microseconds since the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates an instant from milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero when `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the instant `duration` before this one, or the origin if that is later.
    #[must_use]
    pub fn before(self, duration: time::Duration) -> Self {
        Self(self.0.saturating_sub(micros(duration)))
    }
}

impl ops::Add<time::Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: time::Duration) -> Self {
        Self(self.0.saturating_add(micros(rhs)))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
