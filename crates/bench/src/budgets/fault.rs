//! Faults of the scenarios and when they are active.

use super::deployment;
use super::trace;

const SECOND_MICROS: u64 = 1_000_000;
/// Index of the zone that is partitioned under [`trace::Scenario::ZoneCut`].
const PARTITIONED_ZONE: usize = 3;

/// The fault of a scenario, active from one time until another in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    scenario: trace::Scenario,
    from: u64,
    until: u64,
}

impl Fault {
    /// Creates the fault of a scenario; it begins and ends within the measured time.
    #[must_use]
    pub const fn new(scenario: trace::Scenario) -> Self {
        let from = 20 * SECOND_MICROS;
        let duration = match scenario {
            trace::Scenario::OwnerFrozen => 8 * SECOND_MICROS,
            _ => 20 * SECOND_MICROS,
        };
        Self {
            scenario,
            from,
            until: from + duration,
        }
    }

    const fn is_active(&self, now: u64) -> bool {
        self.from <= now && now < self.until
    }

    /// Returns whether a host is in the zone that is partitioned during the fault.
    #[must_use]
    pub fn is_in_zone(&self, deployment: &deployment::Deployment, host: usize) -> bool {
        self.scenario == trace::Scenario::ZoneCut && deployment.zone(host) == PARTITIONED_ZONE
    }

    /// Returns whether messages between two hosts are lost at `now`.
    #[must_use]
    pub fn is_cut(
        &self,
        deployment: &deployment::Deployment,
        from: usize,
        to: usize,
        now: u64,
    ) -> bool {
        let is_across = self.is_in_zone(deployment, from) != self.is_in_zone(deployment, to);
        is_across && self.is_active(now)
    }

    /// Returns whether a host cannot reach the table at `now`.
    #[must_use]
    pub fn is_store_unreachable(
        &self,
        deployment: &deployment::Deployment,
        host: usize,
        now: u64,
    ) -> bool {
        let is_down =
            self.scenario == trace::Scenario::StoreDown || self.is_in_zone(deployment, host);
        is_down && self.is_active(now)
    }

    /// Returns whether the first owner's host, host 0, does not run at `now`.
    #[must_use]
    pub fn is_stopped(&self, host: usize, now: u64) -> bool {
        let is_affected = match self.scenario {
            trace::Scenario::OwnerKilled => now >= self.from,
            trace::Scenario::OwnerFrozen => self.is_active(now),
            _ => false,
        };
        is_affected && host == 0
    }

    /// Returns when a host that is stopped at `now` resumes, or `None` if it never does.
    #[must_use]
    pub fn resume_time(&self, now: u64) -> Option<u64> {
        let is_frozen = self.scenario == trace::Scenario::OwnerFrozen && self.is_active(now);
        is_frozen.then_some(self.until)
    }

    /// Returns whether the fault is active at `now`.
    #[must_use]
    pub const fn is_during(&self, now: u64) -> bool {
        self.is_active(now)
    }

    /// Returns how long the fault is active, in seconds.
    #[must_use]
    pub const fn seconds(&self) -> u64 {
        (self.until - self.from) / SECOND_MICROS
    }
}
