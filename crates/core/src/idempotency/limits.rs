//! Bounds on what a ledger remembers.

use std::time;

/// Bounds on what a ledger remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long a key is remembered after its time of issue, at least.
    pub retention: time::Duration,
    /// How far a time of issue may lie ahead of the home's clock.
    pub max_skew: time::Duration,
    /// Most keys that are remembered.
    pub max_keys: usize,
    /// Most bytes of answers that are kept in memory.
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
