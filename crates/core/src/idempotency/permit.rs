//! Permit to send one request to a target.

/// The permit to send one request to a target, issued once for each key.
///
/// It cannot be copied, and [`super::Ledger::finish`] consumes it.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a dropped permit leaves its key running for ever"]
pub struct Permit {
    pub(super) id: super::Id,
    pub(super) segment: u64,
}

impl Permit {
    /// Returns the digest of the key.
    #[must_use]
    pub fn id(&self) -> super::Id {
        self.id
    }

    /// Returns the number of the ledger segment that contains the key.
    #[must_use]
    pub fn segment(&self) -> u64 {
        self.segment
    }
}
