//! One request of a caller as the steps of the pipeline see it.

use std::time;

use bytes::Bytes;
use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::secret;

/// A caller's request, read whole.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique id of the request.
    pub id: String,
    /// HTTP method.
    pub method: hyper::Method,
    /// Path and query.
    pub target: hyper::Uri,
    /// Headers, as the caller sent them.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Digest of the caller's key, none on a route open to all.
    pub credential: Option<secret::Digest>,
    /// When the caller stops waiting.
    pub deadline: instant::Instant,
}

impl Request {
    /// Returns the time that is left at `now`.
    #[must_use]
    pub fn left(&self, now: instant::Instant) -> time::Duration {
        self.deadline.since(now)
    }
}

/// A whole answer of a target.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: hyper::StatusCode,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Target that answered.
    pub target: name::Target,
}

/// Why a request has no answer of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: kind::ErrorKind,
    /// Whether the request may have run.
    pub outcome: kind::Outcome,
    /// When trying again can help.
    pub after: Option<time::Duration>,
}

impl Refusal {
    /// Creates a refusal with the outcome that its kind has by default.
    #[must_use]
    pub const fn new(kind: kind::ErrorKind) -> Self {
        Self {
            kind,
            outcome: kind.answer().outcome,
            after: None,
        }
    }

    /// States whether the request may have run.
    #[must_use]
    pub const fn with_outcome(mut self, outcome: kind::Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// States when trying again can help.
    #[must_use]
    pub const fn with_after(mut self, after: time::Duration) -> Self {
        self.after = Some(after);
        self
    }
}

/// Result of a step of the pipeline.
pub type Result<T> = std::result::Result<T, Refusal>;
