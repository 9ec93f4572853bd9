//! What the rules say of a service and of callers.

use std::time;

/// How a service's targets want to be treated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLimits {
    /// Time for which a target is cold after its start.
    pub warmup: time::Duration,
    /// Requests a second that a cold target bears from all hosts together, none without a limit.
    pub cold_rate: Option<f64>,
    /// Connections that a target accepts from all hosts together.
    pub max_connections: u32,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time from the first byte of a head to its last.
    pub head_time: time::Duration,
    /// Time for which a connection may stay idle.
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
