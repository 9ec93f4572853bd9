//! Problem details of rejected requests (RFC 9457).

use skylark_core::kind;

/// Media type of problem details.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Body of the response to a rejected request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Problem {
    /// Kind of the error, as the RFC's `type`.
    #[serde(rename = "type")]
    pub kind: kind::ErrorKind,
    /// Short summary of the error kind for people.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Whether the request may have run.
    pub outcome: kind::Outcome,
    /// Whether, and where, a retry may succeed.
    pub retry: kind::RetryAdvice,
    /// Unique id of the request.
    pub request: String,
}

impl Problem {
    /// Creates the problem details of an error kind, with its title, status and retry advice.
    #[must_use]
    pub fn new(kind: kind::ErrorKind, outcome: kind::Outcome, request: &str) -> Self {
        let response = kind.answer();
        Self {
            kind,
            title: response.title.to_owned(),
            status: response.status,
            outcome,
            retry: response.retry,
            request: request.to_owned(),
        }
    }
}
