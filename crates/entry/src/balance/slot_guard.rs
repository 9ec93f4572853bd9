//! Slot of a target that one request occupies.

use std::sync;

use skylark_core::name;
use skylark_core::record;
use skylark_core::steer;
use skylark_core::unit;
use skylark_runtime::clock;

use super::balancer;

/// Occupied slot of a target, released when the exchange finishes or the guard is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    /// Target whose slot is occupied.
    pub target: record::Target,
    /// Version of the records that the target was chosen with.
    pub version: unit::Version,
    shared: sync::Arc<balancer::Inner>,
    service: name::Service,
    clock: clock::Clock,
    is_released: bool,
}

impl SlotGuard {
    /// Creates the guard of a slot that the target's pool already counts as occupied.
    #[must_use]
    pub fn new(
        target: record::Target,
        version: unit::Version,
        shared: sync::Arc<balancer::Inner>,
        service: name::Service,
        clock: clock::Clock,
    ) -> Self {
        Self {
            target,
            version,
            shared,
            service,
            clock,
            is_released: false,
        }
    }

    /// Releases the slot and records how the exchange ended and what load the target reported.
    pub fn finish(mut self, completion: steer::Completion, report: steer::LoadReport) {
        self.release(completion, report);
    }

    fn release(&mut self, completion: steer::Completion, report: steer::LoadReport) {
        if self.is_released {
            return;
        }
        self.is_released = true;
        let now = self.clock.now();
        self.shared
            .finish(&self.service, &self.target.name, completion, report, now);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.release(steer::Completion::Cancelled, steer::LoadReport::default());
    }
}
