//! Counts of judged requests.

use super::request_class;

/// Requests by judgement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Count {
    /// Answered in time.
    pub good: u64,
    /// Answered late.
    pub late: u64,
    /// Failed at the target, or with a lost answer.
    pub failed: u64,
    /// Refused although within the client account's rate.
    pub refused: u64,
    /// Refused rightly.
    pub excluded: u64,
}

impl Count {
    /// Adds one request.
    pub const fn add(&mut self, judgement: request_class::RequestClass) {
        use request_class::RequestClass;
        let slot = match judgement {
            RequestClass::Good => &mut self.good,
            RequestClass::Late => &mut self.late,
            RequestClass::Failed => &mut self.failed,
            RequestClass::Refused => &mut self.refused,
            RequestClass::Excluded => &mut self.excluded,
        };
        *slot += 1;
    }

    /// Returns the requests that use up error budget.
    #[must_use]
    pub const fn bad(&self) -> u64 {
        self.late + self.failed + self.refused
    }

    /// Returns the requests that count towards the objective.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.good + self.bad()
    }

    /// Returns the part of bad requests divided by the part that is allowed, 0 without requests.
    #[must_use]
    pub fn burn_rate(&self, allowed: f64) -> f64 {
        if self.total() == 0 {
            return 0.0;
        }
        ratio(self.bad(), self.total()) / allowed
    }
}

/// Returns one count divided by another.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of requests stay far below 2^52"
)]
pub fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
