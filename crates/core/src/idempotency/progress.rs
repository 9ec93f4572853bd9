//! How far a request got, and what a refusal may therefore say.

use crate::kind;

/// How far a non-idempotent request got on the host that refuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The host has passed the request to nobody.
    NotForwarded,
    /// The host has passed the request on and has no answer.
    Forwarded,
}

impl Progress {
    /// Returns what a refusal may say of a request whose home did not decide.
    ///
    /// Only the first attempt of a request that this host alone has seen has
    /// surely not run, and its caller sends its key to nobody else.
    #[must_use]
    pub const fn outcome(self, attempt: super::Attempt) -> kind::Outcome {
        match (self, attempt) {
            (Self::NotForwarded, super::Attempt::First) => kind::Outcome::NotRun,
            _ => kind::Outcome::Unknown,
        }
    }
}
