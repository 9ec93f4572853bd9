//! Classification of requests against their service's objective.

use std::time;

use crate::decision;
use crate::kind;
use crate::record;

/// Lowest HTTP status that is a server error.
const MIN_SERVER_ERROR: u16 = 500;

/// Class of a request with regard to its service's objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// The request was answered in time.
    Good,
    /// The request was answered later than the objective allows.
    Late,
    /// The target failed, or answered with a server error.
    Failed,
    /// The request was refused although its client account was within its rate.
    Refused,
    /// The request was refused rightly, so it does not count towards the objective.
    Excluded,
}

/// Cause of a refusal, which decides the class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefusalCause {
    /// The caller sent a request that cannot be served.
    CallerError,
    /// The fleet counted the client account as over its rate, which may be wrong.
    Rate,
    /// The system did not serve a valid request.
    SystemError,
    /// The request may have run, but its response was lost.
    LostResponse,
}

impl RequestClass {
    /// Classifies a decision; `has_token` states whether a fleet-wide token bucket had a token.
    #[must_use]
    pub fn new(
        decision: &decision::Decision,
        objective: &record::Objective,
        has_token: bool,
    ) -> Self {
        match &decision.verdict {
            decision::Verdict::Served { status, .. } if *status >= MIN_SERVER_ERROR => Self::Failed,
            decision::Verdict::Served { .. } if is_late(decision, objective) => Self::Late,
            decision::Verdict::Served { .. } => Self::Good,
            decision::Verdict::Refused { kind, .. } => match refusal_cause(*kind) {
                RefusalCause::CallerError => Self::Excluded,
                RefusalCause::Rate if !has_token => Self::Excluded,
                RefusalCause::Rate | RefusalCause::SystemError => Self::Refused,
                RefusalCause::LostResponse => Self::Failed,
            },
        }
    }

    /// Returns whether the request spends error budget.
    #[must_use]
    pub const fn is_bad(self) -> bool {
        matches!(self, Self::Late | Self::Failed | Self::Refused)
    }
}

/// Returns whether a response was too late; without a deadline, it never is.
fn is_late(decision: &decision::Decision, objective: &record::Objective) -> bool {
    let latency = time::Duration::from_micros(decision.latency);
    decision.deadline.is_some() && latency > objective.within.get()
}

const fn refusal_cause(kind: kind::ErrorKind) -> RefusalCause {
    use kind::ErrorKind as Kind;
    match kind {
        Kind::NoRoute
        | Kind::BadRequest
        | Kind::Unauthorized
        | Kind::Quarantined
        | Kind::KeyClosed
        | Kind::KeyReused
        | Kind::TooLarge
        | Kind::InProgress => RefusalCause::CallerError,
        Kind::OverRate => RefusalCause::Rate,
        Kind::StaleKeys
        | Kind::DeadlineUnmet
        | Kind::Overloaded
        | Kind::NoTarget
        | Kind::Leaving
        | Kind::NotReady => RefusalCause::SystemError,
        Kind::HomeUnreachable | Kind::TargetFailed | Kind::TimedOut => RefusalCause::LostResponse,
    }
}
