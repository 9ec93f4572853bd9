//! Admission of a request that finds no free slot.

use crate::kind;

/// Everything that the admission of one request depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Admission {
    /// Requests that would be served before this one.
    pub ahead: u32,
    /// Requests that wait at present.
    pub waiting: u32,
    /// Requests that may wait at most.
    pub bound: u32,
    /// Requests that the host can expect to run at once.
    #[serde(rename = "width")]
    pub concurrency: u32,
    /// Time that one request takes a slot, in microseconds.
    #[serde(rename = "service_us")]
    pub service_time: u32,
    /// Time from sending a request to its answer, in microseconds.
    #[serde(rename = "answer_us")]
    pub response_time: u32,
    /// Time until the deadline in microseconds, none for batch work.
    #[serde(rename = "remaining_us")]
    pub remaining: Option<u32>,
    /// Whether the request would take the place of one that waits.
    pub displaces: bool,
}

/// What admission comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionResult {
    /// The request waits for a slot.
    Wait,
    /// The request is refused and has not run.
    Refuse(kind::ErrorKind),
}

impl Admission {
    /// Decides whether the request may wait.
    ///
    /// A request that cannot be answered in time by this estimate is refused
    /// at once, so that its caller learns it early and no slot is wasted.
    #[must_use]
    pub fn decide(&self) -> AdmissionResult {
        let is_late = self
            .remaining
            .is_some_and(|left| self.estimate() > u64::from(left));
        if is_late {
            return AdmissionResult::Refuse(kind::ErrorKind::DeadlineUnmet);
        }
        if self.waiting >= self.bound && !self.displaces {
            return AdmissionResult::Refuse(kind::ErrorKind::Overloaded);
        }
        AdmissionResult::Wait
    }

    /// Estimates the time until the answer, in microseconds.
    #[must_use]
    pub fn estimate(&self) -> u64 {
        let turns = u64::from(self.ahead) + 1;
        let wait =
            (turns * u64::from(self.service_time)).div_ceil(u64::from(self.concurrency.max(1)));
        wait + u64::from(self.response_time)
    }
}
