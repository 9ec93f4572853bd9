//! Counts of requests by class.

use super::request_class;

/// Number of requests of each class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Count {
    /// Requests answered in time.
    pub good: u64,
    /// Requests answered late.
    pub late: u64,
    /// Requests that failed at the target, or whose response was lost.
    pub failed: u64,
    /// Requests refused wrongly, such as within the client account's rate.
    pub refused: u64,
    /// Requests refused rightly, which do not count towards the objective.
    pub excluded: u64,
}

impl Count {
    /// Counts one request.
    pub const fn add(&mut self, class: request_class::RequestClass) {
        use request_class::RequestClass;
        let counter = match class {
            RequestClass::Good => &mut self.good,
            RequestClass::Late => &mut self.late,
            RequestClass::Failed => &mut self.failed,
            RequestClass::Refused => &mut self.refused,
            RequestClass::Excluded => &mut self.excluded,
        };
        *counter += 1;
    }

    /// Returns the number of requests that spend error budget.
    #[must_use]
    pub const fn bad(&self) -> u64 {
        self.late + self.failed + self.refused
    }

    /// Returns the number of requests that count towards the objective.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.good + self.bad()
    }

    /// Returns the fraction of bad requests divided by the allowed fraction, 0 without requests.
    #[must_use]
    pub fn burn_rate(&self, allowed: f64) -> f64 {
        if self.total() == 0 {
            return 0.0;
        }
        ratio(self.bad(), self.total()) / allowed
    }
}

/// Returns the quotient of two counts.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of requests stay far below 2^52"
)]
pub fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
