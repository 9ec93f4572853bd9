//! Terms of a leader lease: an epoch and the end of its validity.

use crate::instant;

/// The period in which this process may act as the holder of a lease.
///
/// `until` is a time on the holder's own monotonic clock. It counts from before the
/// renewal was sent and is shortened by the bound on clock drift, so that the term
/// ends here before any other process may take over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Term {
    /// Number of the term, which rises with each change of holder.
    pub epoch: u64,
    /// Instant at which the term ends; the holder acts only before it.
    pub until: instant::Instant,
}

impl Term {
    /// Creates a term with this epoch that ends at `until`.
    #[must_use]
    pub const fn new(epoch: u64, until: instant::Instant) -> Self {
        Self { epoch, until }
    }

    /// Returns whether the term has not ended at `now`.
    #[must_use]
    pub fn is_valid(&self, now: instant::Instant) -> bool {
        now < self.until
    }
}
