//! The availability zones that operators have emptied.

use std::collections;
use std::time;

use crate::instant;
use crate::name;

use super::report;

/// Time after the store's return from an older copy in which operators write again what it lost.
const REWRITE_TIME: time::Duration = time::Duration::from_secs(5);

/// The availability zones that operators have emptied.
///
/// An order that is missing from an older copy of the store holds until operators had time to
/// write it again. An order that the copy brings back holds as well, until it is lifted again: an
/// empty zone costs room, a zone in use that should be empty breaks the operators' work.
#[derive(Debug, Default)]
pub struct Evacuations {
    listed: collections::BTreeSet<name::Zone>,
    /// Zones whose orders the store's copy lacks.
    kept: collections::BTreeSet<name::Zone>,
    restored_at: Option<instant::Instant>,
}

impl Evacuations {
    /// Sets the zones that the store lists.
    pub fn set_listed(&mut self, zones: collections::BTreeSet<name::Zone>) {
        self.kept.retain(|zone| !zones.contains(zone));
        self.listed = zones;
    }

    /// Sets the zones that the store lists after its return from an older copy.
    pub fn restore(&mut self, zones: collections::BTreeSet<name::Zone>, now: instant::Instant) {
        self.kept = self.zones();
        self.restored_at = Some(now);
        self.set_listed(zones);
    }

    /// Ends and returns the orders that were not written again in time.
    ///
    /// The time begins anew while the store cannot be read.
    pub fn expire(
        &mut self,
        access: report::StoreAccess,
        now: instant::Instant,
    ) -> collections::BTreeSet<name::Zone> {
        if access == report::StoreAccess::Unavailable {
            self.restored_at = self.restored_at.map(|_at| now);
        }
        if self
            .restored_at
            .is_none_or(|at| now.since(at) < REWRITE_TIME)
        {
            return collections::BTreeSet::new();
        }
        self.restored_at = None;
        std::mem::take(&mut self.kept)
    }

    /// Returns the zones whose targets get no requests.
    #[must_use]
    pub fn zones(&self) -> collections::BTreeSet<name::Zone> {
        self.listed.union(&self.kept).cloned().collect()
    }
}
