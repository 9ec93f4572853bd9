//! A place at a target.

use std::sync;

use skylark_core::name;
use skylark_core::record;
use skylark_core::steer;
use skylark_core::unit;
use skylark_runtime::clock;

use super::balancer;

/// A place at a target, given back when the exchange ends or this is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    /// The target.
    pub target: record::Target,
    /// Version of the records that the target was chosen with.
    pub version: unit::Version,
    shared: sync::Arc<balancer::Inner>,
    service: name::Service,
    clock: clock::Clock,
    is_over: bool,
}

impl SlotGuard {
    /// Creates the place of a request that the target's pool counts already.
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
            is_over: false,
        }
    }

    /// Gives the place back with what the exchange showed of the target.
    pub fn end(mut self, end: steer::Completion, word: steer::LoadReport) {
        self.give_back(end, word);
    }

    fn give_back(&mut self, end: steer::Completion, word: steer::LoadReport) {
        if self.is_over {
            return;
        }
        self.is_over = true;
        let now = self.clock.now();
        self.shared
            .end(&self.service, &self.target.name, end, word, now);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.give_back(steer::Completion::Cancelled, steer::LoadReport::default());
    }
}
