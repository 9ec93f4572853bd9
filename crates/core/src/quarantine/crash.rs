//! Report of a target that crashed while it ran a request.

use crate::idempotency;
use crate::name;

/// Report that a target crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: idempotency::Fingerprint,
    /// Target that crashed.
    pub target: name::Target,
    /// Incarnation of the entry process that observed the crash.
    #[serde(rename = "witness")]
    pub reporter: name::Incarnation,
    /// Sequence number of the crash among those of the reporter.
    pub number: u64,
}
