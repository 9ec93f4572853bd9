//! Ejection of targets that fail, with probes after a growing pause.

use std::time;

use crate::instant;

const FAILURES: u32 = 3;
const FIRST_PAUSE: time::Duration = time::Duration::from_secs(1);
const MAX_DOUBLINGS: u32 = 5;

/// What recent failures say of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutlierEjection {
    failures: u32,
    ejections: u32,
    until: Option<instant::Instant>,
}

impl OutlierEjection {
    /// Returns whether the target is left out at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: instant::Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the end of the present ejection.
    #[must_use]
    pub fn ejected_until(&self, now: instant::Instant) -> Option<instant::Instant> {
        self.until.filter(|until| now < *until)
    }

    /// Returns whether the next request is a probe after an ejection.
    #[must_use]
    pub fn is_probe_due(&self, now: instant::Instant) -> bool {
        self.until.is_some_and(|until| now >= until)
    }

    /// Counts an answer.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Counts a failure; returns whether the target is to be left out.
    ///
    /// A failed probe counts at once, other failures in a row of three.
    pub fn record_failure(&mut self, now: instant::Instant) -> bool {
        self.failures += 1;
        !self.is_ejected(now) && (self.failures >= FAILURES || self.is_probe_due(now))
    }

    /// Leaves the target out for a pause that doubles with each ejection in a row.
    pub fn eject(&mut self, now: instant::Instant) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.until = Some(now + FIRST_PAUSE * 2_u32.pow(doublings));
        self.ejections += 1;
        self.failures = 0;
    }
}
