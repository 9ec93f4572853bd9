//! Progress of a refused request, and the outcome that the refusal may report.

use crate::kind;

/// Whether the refusing host has forwarded a request that is not idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The host has not forwarded the request.
    NotForwarded,
    /// The host has forwarded the request and has no reply.
    Forwarded,
}

impl Progress {
    /// Returns the outcome to report for a request on which the home made no decision.
    ///
    /// Only a first attempt that this host did not forward has certainly not run: no
    /// other host has received its key.
    #[must_use]
    pub const fn outcome(self, attempt: super::Attempt) -> kind::Outcome {
        match (self, attempt) {
            (Self::NotForwarded, super::Attempt::First) => kind::Outcome::NotRun,
            _ => kind::Outcome::Unknown,
        }
    }
}
