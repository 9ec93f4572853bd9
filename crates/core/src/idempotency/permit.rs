//! The right to send one request to a target.

/// The right to send one request to a target, given once for each key.
///
/// It cannot be copied: who finishes the request hands it back.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is dropped leaves its key running"]
pub struct Permit {
    pub(super) id: super::Id,
    pub(super) segment: u64,
}

impl Permit {
    /// Returns the id of the key that may start.
    #[must_use]
    pub fn id(&self) -> super::Id {
        self.id
    }

    /// Returns the segment in which the ledger keeps the key.
    #[must_use]
    pub fn segment(&self) -> u64 {
        self.segment
    }
}
