//! What the entry process has in force.

use std::sync;
use std::time;

use skylark_core::catalog;
use skylark_core::instant;
use skylark_core::unit;
use skylark_wire::control;

/// Shortest time between two pooled writes to the platform.
const WRITE_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Time between pooled writes for each known host.
const HOST_PERIOD: time::Duration = time::Duration::from_millis(10);

/// Records and hosts in force, with the time of their last proof.
#[derive(Clone, Debug)]
pub struct View {
    /// The records.
    pub catalog: sync::Arc<catalog::Catalog>,
    /// Entry hosts that are known to serve.
    pub hosts: sync::Arc<[control::Host]>,
    /// Instant at or before the last proof, in this life, that nothing newer was accepted.
    pub fresh_at: Option<instant::Instant>,
}

impl View {
    /// Creates the view of a process that was told nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            catalog: sync::Arc::default(),
            hosts: sync::Arc::new([]),
            fresh_at: None,
        }
    }

    /// Returns whether any records are in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.catalog.version > unit::Version::NONE
    }

    /// Returns whether keys may be checked against the records at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: instant::Instant) -> bool {
        let bound = self.catalog.policy.stale_after.get();
        self.fresh_at.is_some_and(|at| now.since(at) < bound)
    }

    /// Returns the time between two pooled writes of one kind to the platform.
    ///
    /// It grows with the fleet, so that all hosts together write at most 100 times a second.
    #[must_use]
    pub fn write_period(&self) -> time::Duration {
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        HOST_PERIOD.saturating_mul(hosts).max(WRITE_PERIOD)
    }
}
