//! Admission control for a request that finds no free slot.

use crate::kind;

/// Inputs of the admission decision for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Admission {
    /// Number of requests that would be served before this one.
    pub ahead: u32,
    /// Number of queued requests of the same class: with a deadline, or batch.
    pub waiting: u32,
    /// Maximum number of queued requests of the same class.
    pub bound: u32,
    /// Number of requests that the host expects to run concurrently.
    #[serde(rename = "width")]
    pub concurrency: u32,
    /// Time for which one request occupies a slot, in microseconds.
    #[serde(rename = "service_us")]
    pub service_time: u32,
    /// Time from sending a request to its response, in microseconds.
    #[serde(rename = "answer_us")]
    pub response_time: u32,
    /// Time until the deadline, in microseconds; `None` for batch requests.
    #[serde(rename = "remaining_us")]
    pub remaining: Option<u32>,
    /// Whether the request would displace a queued one.
    pub displaces: bool,
}

/// Result of the admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionResult {
    /// The request is queued until a slot is free.
    Wait,
    /// The request is refused without having run.
    Refuse(kind::ErrorKind),
}

impl Admission {
    /// Decides whether the request may be queued.
    ///
    /// A request that would miss its deadline by [`Self::estimate`] is refused
    /// at once: its caller can react early, and no slot is spent on it.
    #[must_use]
    pub fn decide(&self) -> AdmissionResult {
        let misses_deadline = self
            .remaining
            .is_some_and(|remaining| self.estimate() > u64::from(remaining));
        if misses_deadline {
            return AdmissionResult::Refuse(kind::ErrorKind::DeadlineUnmet);
        }
        if self.waiting >= self.bound && !self.displaces {
            return AdmissionResult::Refuse(kind::ErrorKind::Overloaded);
        }
        AdmissionResult::Wait
    }

    /// Estimates the time until the response, in microseconds.
    #[must_use]
    pub fn estimate(&self) -> u64 {
        let turns = u64::from(self.ahead) + 1;
        let wait =
            (turns * u64::from(self.service_time)).div_ceil(u64::from(self.concurrency.max(1)));
        wait + u64::from(self.response_time)
    }
}
