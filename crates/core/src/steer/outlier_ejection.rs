//! Outlier ejection with exponential backoff, and a probe after each ejection.

use std::time;

use crate::instant;

/// Consecutive failures that eject a target.
const MIN_FAILURES: u32 = 3;
/// Duration of the first ejection.
const FIRST_EJECTION: time::Duration = time::Duration::from_secs(1);
/// Number of times that the duration doubles at most, up to 32 seconds.
const MAX_DOUBLINGS: u32 = 5;

/// Ejection state of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutlierEjection {
    failures: u32,
    ejections: u32,
    ejected_until: Option<instant::Instant>,
}

impl OutlierEjection {
    /// Returns whether the target is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: instant::Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the end of the current ejection, `None` if the target is not ejected.
    #[must_use]
    pub fn ejected_until(&self, now: instant::Instant) -> Option<instant::Instant> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// Returns whether an ejection has ended and the next request is a probe.
    #[must_use]
    pub fn is_probe_due(&self, now: instant::Instant) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Records a response, which clears failures and ejections.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure; returns whether the target should be ejected.
    ///
    /// A failed probe suffices; otherwise it takes three consecutive failures.
    pub fn record_failure(&mut self, now: instant::Instant) -> bool {
        self.failures += 1;
        !self.is_ejected(now) && (self.failures >= MIN_FAILURES || self.is_probe_due(now))
    }

    /// Ejects the target for a time that doubles with each consecutive ejection.
    pub fn eject(&mut self, now: instant::Instant) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = Some(now + FIRST_EJECTION * 2_u32.pow(doublings));
        self.ejections += 1;
        self.failures = 0;
    }
}
