//! Bounds of the quarantine.

use std::time;

/// Bounds of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Deaths within the window that hold a fingerprint back.
    pub crashes: usize,
    /// How long a death counts.
    pub window: time::Duration,
    /// Time within which deaths of one target count as one.
    pub merge_window: time::Duration,
    /// Time after a death during which a host cut off from the table runs nothing.
    pub offline_pause: time::Duration,
    /// How long a success lets a fingerprint run side by side.
    pub trust_period: time::Duration,
    /// Fingerprints that are trusted before the older half is forgotten, and most with deaths.
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
