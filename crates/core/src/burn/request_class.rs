//! Whether one request was served as its service's objective asks.

use std::time;

use crate::decision;
use crate::kind;
use crate::record;

const FIRST_SERVER_ERROR: u16 = 500;

/// How one request counts towards its service's objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// Answered, in time.
    Good,
    /// Answered, later than the objective allows.
    Late,
    /// The target failed, or answered with a server error.
    Failed,
    /// Refused although its client account was within its rate.
    Refused,
    /// Refused rightly; it does not count.
    Excluded,
}

/// How a refusal is to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The caller sent what cannot be served.
    Caller,
    /// The client account was over its rate, if the fleet counted rightly.
    Rate,
    /// The system did not serve what it should have.
    System,
    /// The request may have run and its answer is lost.
    Answer,
}

impl RequestClass {
    /// Judges a decision; `has_token` tells whether one bucket for the whole fleet had a token.
    #[must_use]
    pub fn new(
        decision: &decision::Decision,
        objective: &record::Objective,
        has_token: bool,
    ) -> Self {
        match &decision.verdict {
            decision::Verdict::Served { status, .. } if *status >= FIRST_SERVER_ERROR => {
                Self::Failed
            }
            decision::Verdict::Served { .. } if is_late(decision, objective) => Self::Late,
            decision::Verdict::Served { .. } => Self::Good,
            decision::Verdict::Refused { kind, .. } => match fault(*kind) {
                Fault::Caller => Self::Excluded,
                Fault::Rate if !has_token => Self::Excluded,
                Fault::Rate | Fault::System => Self::Refused,
                Fault::Answer => Self::Failed,
            },
        }
    }

    /// Returns whether the request uses up error budget.
    #[must_use]
    pub const fn is_bad(self) -> bool {
        matches!(self, Self::Late | Self::Failed | Self::Refused)
    }
}

/// Work without a deadline is good whenever it is answered.
fn is_late(decision: &decision::Decision, objective: &record::Objective) -> bool {
    let latency = time::Duration::from_micros(decision.latency);
    decision.deadline.is_some() && latency > objective.within.get()
}

const fn fault(kind: kind::ErrorKind) -> Fault {
    use kind::ErrorKind as Kind;
    match kind {
        Kind::NoRoute
        | Kind::BadRequest
        | Kind::Unauthorized
        | Kind::Quarantined
        | Kind::KeyClosed
        | Kind::KeyReused
        | Kind::TooLarge
        | Kind::InProgress => Fault::Caller,
        Kind::OverRate => Fault::Rate,
        Kind::StaleKeys
        | Kind::DeadlineUnmet
        | Kind::Overloaded
        | Kind::NoTarget
        | Kind::Leaving
        | Kind::NotReady => Fault::System,
        Kind::HomeUnreachable | Kind::TargetFailed | Kind::TimedOut => Fault::Answer,
    }
}
