//! Wall-clock time, for records and reports only.

use std::fmt;
use std::time;

/// A wall-clock time, in milliseconds since the Unix epoch.
///
/// No safety decision depends on it: leases and budgets use monotonic time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Creates a timestamp from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

impl From<time::SystemTime> for Timestamp {
    fn from(at: time::SystemTime) -> Self {
        let elapsed = at.duration_since(time::UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = time::UNIX_EPOCH + time::Duration::from_millis(self.0);
        write!(f, "{}", humantime::format_rfc3339_millis(at))
    }
}
