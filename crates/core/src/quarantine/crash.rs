//! News of a target that died under a request.

use crate::idempotency;
use crate::name;

/// A target died in the exchange of a request with this fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: idempotency::Fingerprint,
    /// The target that died.
    pub target: name::Target,
    /// The life of the entry process that saw it.
    #[serde(rename = "witness")]
    pub reporter: name::Incarnation,
    /// Number of the death among those that the witness saw.
    pub number: u64,
}
