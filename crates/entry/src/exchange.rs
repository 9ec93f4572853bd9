//! Request, response and refusal of one HTTP exchange, as the stages of the pipeline pass them on.

use std::time;

use bytes::Bytes;
use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::secret;

/// A caller's request with its whole body in memory.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request, unique over all entry hosts.
    pub id: String,
    /// HTTP method of the request.
    pub method: hyper::Method,
    /// Request URI, of which the path and the query are used.
    pub uri: hyper::Uri,
    /// Headers from the caller, without any API key.
    pub headers: hyper::HeaderMap,
    /// Whole body, of at most 1 MiB.
    pub body: Bytes,
    /// Digest of the caller's API key; none on a route with open access.
    pub credential: Option<secret::Digest>,
    /// Instant at which the caller stops waiting.
    pub deadline: instant::Instant,
}

impl Request {
    /// Returns the time from `now` to the deadline, zero if it has passed.
    #[must_use]
    pub fn remaining(&self, now: instant::Instant) -> time::Duration {
        self.deadline.since(now)
    }
}

/// A complete response of a target.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: hyper::StatusCode,
    /// Headers as the target sent them.
    pub headers: hyper::HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Target that sent the response.
    pub target: name::Target,
}

/// Reason why a request ends without a response of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of error that the caller is told.
    pub kind: kind::ErrorKind,
    /// Whether the request may have run.
    pub outcome: kind::Outcome,
    /// Shortest delay after which a retry can succeed, if one can.
    pub retry_after: Option<time::Duration>,
}

impl Refusal {
    /// Creates a refusal with the default outcome of its kind and no retry delay.
    #[must_use]
    pub const fn new(kind: kind::ErrorKind) -> Self {
        Self {
            kind,
            outcome: kind.answer().outcome,
            retry_after: None,
        }
    }

    /// Returns the refusal with a statement of whether the request may have run.
    #[must_use]
    pub const fn with_outcome(mut self, outcome: kind::Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Returns the refusal with the shortest delay after which a retry can succeed.
    #[must_use]
    pub const fn with_retry_after(mut self, delay: time::Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

/// Result of a stage of the pipeline.
pub type Result<T> = std::result::Result<T, Refusal>;
