//! What fails, and when.

use super::deployment;
use super::trace;

const SECOND: u64 = 1_000_000;
/// Zone that is cut off under [`trace::Load::Cut`].
const CUT_ZONE: usize = 3;

/// What fails, and when, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    load: trace::Load,
    from: u64,
    until: u64,
}

impl Fault {
    /// Creates the fault of a load; it begins and ends within the measured time.
    #[must_use]
    pub const fn new(load: trace::Load) -> Self {
        let from = 20 * SECOND;
        let span = match load {
            trace::Load::Frozen => 8 * SECOND,
            _ => 20 * SECOND,
        };
        Self {
            load,
            from,
            until: from + span,
        }
    }

    const fn is_on(&self, now: u64) -> bool {
        self.from <= now && now < self.until
    }

    /// Returns whether a host is in the zone that is cut off at some time.
    #[must_use]
    pub fn is_in_zone(&self, deployment: &deployment::Deployment, host: usize) -> bool {
        self.load == trace::Load::Cut && deployment.zone(host) == CUT_ZONE
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
        is_across && self.is_on(now)
    }

    /// Returns whether a host cannot reach the table at `now`.
    #[must_use]
    pub fn is_storeless(&self, deployment: &deployment::Deployment, host: usize, now: u64) -> bool {
        let is_down = self.load == trace::Load::Store || self.is_in_zone(deployment, host);
        is_down && self.is_on(now)
    }

    /// Returns whether the first owner's host, host 0, does not run at `now`.
    #[must_use]
    pub fn is_stopped(&self, host: usize, now: u64) -> bool {
        let is_hit = match self.load {
            trace::Load::Killed => now >= self.from,
            trace::Load::Frozen => self.is_on(now),
            _ => false,
        };
        is_hit && host == 0
    }

    /// Returns when a host that does not run at `now` runs again, if ever.
    #[must_use]
    pub fn thaw(&self, now: u64) -> Option<u64> {
        let is_frozen = self.load == trace::Load::Frozen && self.is_on(now);
        is_frozen.then_some(self.until)
    }

    /// Returns whether the fault is on at `now`.
    #[must_use]
    pub const fn is_during(&self, now: u64) -> bool {
        self.is_on(now)
    }

    /// Returns how long the fault is on, in seconds.
    #[must_use]
    pub const fn seconds(&self) -> u64 {
        (self.until - self.from) / SECOND
    }
}
