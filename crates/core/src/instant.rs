//! Monotonic time as an argument of decisions.

use std::fmt;
use std::ops;
use std::time;

/// A point of monotonic time, in microseconds since the process's origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Instant(u64);

impl Instant {
    /// The origin of the process's monotonic time.
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

    /// Returns the time from `earlier` to this instant, zero if it is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the instant `span` before this one, not before the origin.
    #[must_use]
    pub fn before(self, span: time::Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
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

fn micros(span: time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
