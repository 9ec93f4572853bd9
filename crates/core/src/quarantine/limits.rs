//! Limits of the quarantine.

use std::time;

/// Limits and time spans of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of crashes within the window that quarantine a fingerprint.
    pub crashes: usize,
    /// Time for which a crash counts.
    pub window: time::Duration,
    /// Time within which several crashes of one target count as one.
    pub merge_window: time::Duration,
    /// Time after a crash during which a host without the table refuses the fingerprint.
    pub offline_pause: time::Duration,
    /// Time after a success during which a fingerprint may run concurrently.
    pub trust_period: time::Duration,
    /// Trusted fingerprints at which the older half is discarded; also limits those with crashes.
    pub max_fingerprints: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            crashes: 2,
            window: time::Duration::from_mins(10),
            merge_window: time::Duration::from_secs(1),
            offline_pause: time::Duration::from_mins(1),
            trust_period: time::Duration::from_mins(1),
            max_fingerprints: 50_000,
        }
    }
}
