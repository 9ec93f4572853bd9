//! Disposition of a request: the ledger's decision on a request with a key.

use std::sync;

use crate::kind;

/// A ledger's decision on a request with a key.
#[derive(Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The request may be sent to a target, only by the owner of this permit.
    Start(super::Permit),
    /// An earlier request with the key is still running.
    Running,
    /// The request completed; this response is to be replayed.
    Replay(sync::Arc<super::Response>),
    /// The request completed, but its response is no longer in memory.
    Evicted,
    /// The key was refused, and no request with it ever starts.
    Refused(kind::ErrorKind),
    /// The key was used for a different request.
    Reused,
    /// The request was sent to a target, and its outcome is unknown.
    Unknown,
    /// The key is older than the retention period, or issued too far in the future.
    Expired,
    /// The ledger holds its maximum number of keys.
    Full,
}

impl Disposition {
    /// Returns the error and the outcome to tell the caller, if this refuses the request.
    #[must_use]
    pub fn refusal(&self) -> Option<(kind::ErrorKind, kind::Outcome)> {
        use kind::ErrorKind;
        use kind::Outcome::{NotRun, Unknown};
        match self {
            Self::Start(_) | Self::Replay(_) => None,
            Self::Running => Some((ErrorKind::InProgress, Unknown)),
            Self::Evicted | Self::Expired => Some((ErrorKind::HomeUnreachable, Unknown)),
            Self::Refused(kind) => Some((*kind, NotRun)),
            Self::Reused => Some((ErrorKind::KeyReused, NotRun)),
            Self::Unknown => Some((ErrorKind::TargetFailed, Unknown)),
            Self::Full => Some((ErrorKind::Overloaded, Unknown)),
        }
    }
}
