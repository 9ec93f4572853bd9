//! Problem details of refusals, as RFC 9457 defines them.

use skylark_core::kind;

/// Media type of problem details.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// The body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Problem {
    /// Kind of the error.
    #[serde(rename = "type")]
    pub kind: kind::ErrorKind,
    /// One line for people.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Whether the request may have run.
    pub outcome: kind::Outcome,
    /// Whether trying again can help.
    pub retry: kind::RetryAdvice,
    /// Unique id of the request.
    pub request: String,
}

impl Problem {
    /// Creates the problem details of an error kind.
    #[must_use]
    pub fn new(kind: kind::ErrorKind, outcome: kind::Outcome, request: &str) -> Self {
        let answer = kind.answer();
        Self {
            kind,
            title: answer.title.to_owned(),
            status: answer.status,
            outcome,
            retry: answer.retry,
            request: request.to_owned(),
        }
    }
}
