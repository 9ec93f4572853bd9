//! Final result of a request, as its caller received it.

use crate::kind;
use crate::name;

/// Final result of a request, as its caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The response of a target was forwarded.
    Served {
        /// Target that gave the response.
        target: name::Target,
        /// HTTP status of the response.
        status: u16,
    },
    /// The entry host responded with an error.
    Refused {
        /// Kind of the error.
        kind: kind::ErrorKind,
        /// Whether the request may have run on a target.
        outcome: kind::Outcome,
    },
}
