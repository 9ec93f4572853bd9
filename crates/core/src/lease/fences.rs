//! Fences: row versions at which this process no longer supports a lease's holder.

use std::collections;

/// The newest fenced version of the row of each lease.
///
/// A holder that renews the lease in the table writes a newer version, which is
/// supported again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fences {
    fenced: collections::BTreeMap<String, u64>,
}

impl Fences {
    /// Creates an empty set of fences, which allows every holder.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Withdraws support for the holder at this version of the row and older ones, for good.
    pub fn fence(&mut self, lease: &str, version: u64) {
        let fenced = self.fenced.entry(lease.to_owned()).or_default();
        *fenced = version.max(*fenced);
    }

    /// Returns whether the holder at a version of the row may still be supported.
    #[must_use]
    pub fn allows(&self, lease: &str, version: u64) -> bool {
        self.fenced
            .get(lease)
            .is_none_or(|fenced| version > *fenced)
    }
}
