//! Limits on the size and the retention of a ledger.

use std::time;

/// Limits on the size and the retention of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Minimum time for which a key is kept after its issue time.
    pub retention: time::Duration,
    /// Maximum time by which an issue time may be ahead of the home's clock.
    pub max_skew: time::Duration,
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Maximum size of the responses in memory, in bytes.
    pub max_response_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retention: time::Duration::from_mins(15),
            max_skew: time::Duration::from_mins(2),
            max_keys: 500_000,
            max_response_bytes: 64 << 20,
        }
    }
}
