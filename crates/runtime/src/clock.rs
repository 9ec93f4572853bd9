//! The process's monotonic clock.

use std::time;

use skylark_core::instant;
use skylark_core::timestamp;

/// A clock whose origin is the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: time::Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: time::Instant::now(),
        }
    }

    /// Returns the present monotonic time.
    #[must_use]
    pub fn now(&self) -> instant::Instant {
        instant::Instant::ORIGIN + self.origin.elapsed()
    }

    /// Returns the present wall-clock time, for records and reports only.
    #[must_use]
    pub fn wall(&self) -> timestamp::Timestamp {
        time::SystemTime::now().into()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
