//! Leases whose holder this process no longer helps to stay without the table.

use std::collections;

/// For each lease, the newest version of its row that gets no more help.
///
/// A holder that renews in the table makes a newer version and is helped again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fences {
    barred: collections::BTreeMap<String, u64>,
}

impl Fences {
    /// Creates bars that stop no holder.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Stops helping the holder of a lease at a version of its row, for good.
    pub fn fence(&mut self, lease: &str, version: u64) {
        let barred = self.barred.entry(lease.to_owned()).or_default();
        *barred = version.max(*barred);
    }

    /// Returns whether the holder at a version of the row is still helped.
    #[must_use]
    pub fn allows(&self, lease: &str, version: u64) -> bool {
        self.barred
            .get(lease)
            .is_none_or(|barred| version > *barred)
    }
}
