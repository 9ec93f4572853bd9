//! Error kinds that callers can receive, with the HTTP answer to each.
//!
//! The list is closed: a request that gets no answer from a target is refused
//! with one of these kinds.

use std::fmt;

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request has not run and will never run under its idempotency key.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Whether, when and where a caller may retry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryAdvice {
    /// Retrying the same request cannot succeed.
    Never,
    /// The request may be retried, after the time in `Retry-After` if it is present.
    Later,
    /// The request may be retried immediately at another entry host.
    Elsewhere,
}

/// Why a request was refused or got no answer from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// No route matches the method and path.
    NoRoute,
    /// A header is missing or malformed.
    BadRequest,
    /// The API key is missing, unknown or withdrawn.
    Unauthorized,
    /// The entry host cannot prove that its API keys are up to date.
    StaleKeys,
    /// The client account exceeds its rate and burst.
    OverRate,
    /// The request cannot be answered before its deadline.
    DeadlineUnmet,
    /// No target has a free slot before the deadline.
    Overloaded,
    /// No target of the service is reachable.
    NoTarget,
    /// The request resembles requests during which targets crashed.
    Quarantined,
    /// A request with the idempotency key was refused, which closed the key for good.
    KeyClosed,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The idempotency key's home, the host that keeps its state, cannot be reached.
    HomeUnreachable,
    /// A request with the same idempotency key is still running.
    InProgress,
    /// The target failed, possibly after the request reached it.
    TargetFailed,
    /// The deadline passed while a target may have been running the request.
    TimedOut,
    /// The request body exceeds the size limit.
    TooLarge,
    /// The entry host is leaving: a planned stop has begun.
    Leaving,
    /// The entry host has not loaded a configuration yet.
    NotReady,
}

/// The HTTP answer that a caller gets for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request may have run; an individual refusal can override it.
    pub outcome: Outcome,
    /// Whether, when and where a retry is useful.
    pub retry: RetryAdvice,
    /// One-line description for people, the title of the problem details.
    pub title: &'static str,
}

impl ErrorKind {
    /// All kinds, in declaration order.
    pub const ALL: [Self; 18] = [
        Self::NoRoute,
        Self::BadRequest,
        Self::Unauthorized,
        Self::StaleKeys,
        Self::OverRate,
        Self::DeadlineUnmet,
        Self::Overloaded,
        Self::NoTarget,
        Self::Quarantined,
        Self::KeyClosed,
        Self::KeyReused,
        Self::HomeUnreachable,
        Self::InProgress,
        Self::TargetFailed,
        Self::TimedOut,
        Self::TooLarge,
        Self::Leaving,
        Self::NotReady,
    ];

    /// Returns the HTTP answer for this kind.
    #[must_use]
    pub const fn answer(self) -> Answer {
        use Outcome::{NotRun, Unknown};
        use RetryAdvice::{Elsewhere, Later, Never};
        let (status, outcome, retry, title) = match self {
            Self::NoRoute => (404, NotRun, Never, "no route serves this path"),
            Self::BadRequest => (400, NotRun, Never, "the request is malformed"),
            Self::Unauthorized => (401, NotRun, Never, "the key is missing or not valid"),
            Self::StaleKeys => (503, NotRun, Elsewhere, "keys cannot be checked here now"),
            Self::OverRate => (429, NotRun, Later, "the client account is over its rate"),
            Self::DeadlineUnmet => (504, NotRun, Later, "the deadline cannot be met"),
            Self::Overloaded => (503, NotRun, Later, "no target has room in time"),
            Self::NoTarget => (503, NotRun, Later, "no target can be reached"),
            Self::Quarantined => (422, NotRun, Never, "requests like this crash targets"),
            Self::KeyClosed => (409, NotRun, Never, "the idempotency key was refused before"),
            Self::KeyReused => (
                422,
                NotRun,
                Never,
                "the idempotency key names another request",
            ),
            Self::HomeUnreachable => (503, Unknown, Later, "the request's home cannot be asked"),
            Self::InProgress => (409, Unknown, Later, "the request is still running"),
            Self::TargetFailed => (502, Unknown, Later, "the target failed"),
            Self::TimedOut => (504, Unknown, Later, "the target did not answer in time"),
            Self::TooLarge => (413, NotRun, Never, "the body is over the limit"),
            Self::Leaving => (503, NotRun, Elsewhere, "this entry host is leaving"),
            Self::NotReady => (503, NotRun, Elsewhere, "this entry host is not ready"),
        };
        Answer {
            status,
            outcome,
            retry,
            title,
        }
    }

    /// Returns the kind's name as it appears in answers and records.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::BadRequest => "bad-request",
            Self::Unauthorized => "unauthorized",
            Self::StaleKeys => "stale-keys",
            Self::OverRate => "over-rate",
            Self::DeadlineUnmet => "deadline-unmet",
            Self::Overloaded => "overloaded",
            Self::NoTarget => "no-target",
            Self::Quarantined => "quarantined",
            Self::KeyClosed => "key-closed",
            Self::KeyReused => "key-reused",
            Self::HomeUnreachable => "home-unreachable",
            Self::InProgress => "in-progress",
            Self::TargetFailed => "target-failed",
            Self::TimedOut => "timed-out",
            Self::TooLarge => "too-large",
            Self::Leaving => "leaving",
            Self::NotReady => "not-ready",
        }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}
