//! Monotonic clock of the process, and the system's wall clock.

use std::time;

use skylark_core::instant;
use skylark_core::timestamp;

/// A monotonic clock whose origin is the time of its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: time::Instant,
}

impl Clock {
    /// Creates a clock whose origin is now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: time::Instant::now(),
        }
    }

    /// Returns the monotonic time since the origin.
    #[must_use]
    pub fn now(&self) -> instant::Instant {
        instant::Instant::ORIGIN + self.origin.elapsed()
    }

    /// Returns the time since the machine's start, which counts on while it is suspended.
    #[must_use]
    pub fn boot_time(&self) -> time::Duration {
        let since = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        since.try_into().unwrap_or_default()
    }

    /// Returns the wall-clock time, which may jump: use it for records and reports only.
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
