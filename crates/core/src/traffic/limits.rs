//! Limits that the rules set for services and callers.

use std::time;

/// Limits for requests and connections to a service's targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLimits {
    /// Time for which a target is cold after its start.
    pub warmup: time::Duration,
    /// Requests per second to one cold target from all hosts together; `None` means unlimited.
    pub cold_rate: Option<f64>,
    /// Largest number of connections to one target from all hosts together.
    pub max_connections: u32,
}

/// Limits on the size and the duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time from the first byte of a head to its last.
    pub head_time: time::Duration,
    /// Longest time for which a connection may stay idle.
    pub idle_time: time::Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1_024,
            body_bytes: 64 * 1_024 * 1_024,
            head_time: time::Duration::from_secs(3),
            idle_time: time::Duration::from_secs(15),
        }
    }
}
