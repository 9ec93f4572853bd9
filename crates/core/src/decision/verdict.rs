//! What a caller was told.

use crate::kind;
use crate::name;

/// The end of a request, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// A target's answer was handed on.
    Served {
        /// The target that answered.
        target: name::Target,
        /// HTTP status of the answer.
        status: u16,
    },
    /// The entry host answered with an error.
    Refused {
        /// Why.
        kind: kind::ErrorKind,
        /// Whether the request may have run.
        outcome: kind::Outcome,
    },
}
