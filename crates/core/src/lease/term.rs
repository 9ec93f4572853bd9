//! The time for which a holder of a lease may act.

use crate::instant;

/// The time for which this process may act as the holder of a lease.
///
/// Both fields are the holder's own: `until` is on its monotonic clock and is
/// reckoned from before the renewal was sent, less the bound on clock drift.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Term {
    /// Number that rises with each change of holder.
    pub epoch: u64,
    /// The holder acts only before this instant.
    pub until: instant::Instant,
}

impl Term {
    /// Creates a tenure.
    #[must_use]
    pub const fn new(epoch: u64, until: instant::Instant) -> Self {
        Self { epoch, until }
    }

    /// Returns whether the holder may act at `now`.
    #[must_use]
    pub fn is_valid(&self, now: instant::Instant) -> bool {
        now < self.until
    }
}
