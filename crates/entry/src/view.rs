//! Records and entry hosts that the entry process currently works with.

use std::sync;
use std::time;

use skylark_core::catalog;
use skylark_core::instant;
use skylark_core::unit;
use skylark_wire::control;

/// Shortest time between two batched writes to the platform.
const MIN_WRITE_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Time between batched writes for each known host, for 100 writes a second by all together.
const WRITE_PERIOD_PER_HOST: time::Duration = time::Duration::from_millis(10);

/// Current records and entry hosts, with the time until which the records were proven current.
#[derive(Clone, Debug)]
pub struct View {
    /// Indexed records.
    pub catalog: sync::Arc<catalog::Catalog>,
    /// Entry hosts that are known to serve requests.
    pub hosts: sync::Arc<[control::Host]>,
    /// Instant at or before the last proof, within this incarnation, that no newer records exist.
    pub fresh_at: Option<instant::Instant>,
}

impl View {
    /// Creates the view of a process that has received no records.
    #[must_use]
    pub fn new() -> Self {
        Self {
            catalog: sync::Arc::default(),
            hosts: sync::Arc::new([]),
            fresh_at: None,
        }
    }

    /// Returns whether records were received.
    #[must_use]
    pub fn has_records(&self) -> bool {
        self.catalog.version > unit::Version::NONE
    }

    /// Returns whether the records are fresh enough at `now` to check API keys against.
    #[must_use]
    pub fn is_fresh(&self, now: instant::Instant) -> bool {
        let max_age = self.catalog.policy.stale_after.get();
        self.fresh_at.is_some_and(|at| now.since(at) < max_age)
    }

    /// Returns the time between two batched writes of one kind to the platform.
    ///
    /// It grows with the number of hosts, so that all together write at most 100 times a second.
    #[must_use]
    pub fn write_period(&self) -> time::Duration {
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        WRITE_PERIOD_PER_HOST
            .saturating_mul(hosts)
            .max(MIN_WRITE_PERIOD)
    }
}
