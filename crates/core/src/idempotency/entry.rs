//! Ledger entry of one key with its final state.

use std::sync;

use crate::kind;

/// The final state of one key, as copied to the object store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Digest of the key.
    pub id: super::Id,
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: super::Fingerprint,
    /// Final state of the request.
    #[serde(rename = "fate")]
    pub final_state: FinalState,
}

/// How a request ended; no state changes to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FinalState {
    /// The target sent a complete response.
    Answered(sync::Arc<super::Response>),
    /// The request was refused, and never starts.
    Refused(kind::ErrorKind),
    /// The request was sent, but no complete response arrived.
    Lost,
}

impl Entry {
    /// Returns the size of the response, in bytes, 0 without one.
    #[must_use]
    pub fn size(&self) -> usize {
        match &self.final_state {
            FinalState::Answered(response) => response.size(),
            FinalState::Refused(_) | FinalState::Lost => 0,
        }
    }

    /// Returns the decision on a repeated request with this fingerprint.
    #[must_use]
    pub fn disposition(&self, fingerprint: super::Fingerprint) -> super::Disposition {
        if self.fingerprint != fingerprint {
            return super::Disposition::Reused;
        }
        match &self.final_state {
            FinalState::Answered(response) => {
                super::Disposition::Replay(sync::Arc::clone(response))
            }
            FinalState::Refused(kind) => super::Disposition::Refused(*kind),
            FinalState::Lost => super::Disposition::Unknown,
        }
    }
}
