//! Bounds of the quarantine.

use std::time;

/// Bounds of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Deaths within the window that hold a fingerprint back.
    pub deaths: usize,
    /// How long a death counts.
    pub window: time::Duration,
    /// Time within which deaths of one target count as one.
    pub merge: time::Duration,
    /// Time after a death during which a host cut off from the table runs nothing.
    pub pause: time::Duration,
    /// How long a success lets a fingerprint run side by side.
    pub trust: time::Duration,
    /// Fingerprints that are trusted before the older half is forgotten, and most with deaths.
    pub prints: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            deaths: 2,
            window: time::Duration::from_mins(10),
            merge: time::Duration::from_secs(1),
            pause: time::Duration::from_mins(1),
            trust: time::Duration::from_mins(1),
            prints: 50_000,
        }
    }
}
