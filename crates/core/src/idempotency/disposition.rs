//! What a ledger says when a request arrives under a key.

use std::sync;

use crate::kind;

/// What a ledger says when a request arrives under a key.
#[derive(Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The request may be sent to a target, by the holder of the permit only.
    Start(super::Permit),
    /// The request is running.
    Running,
    /// The request was answered.
    Replay(sync::Arc<super::Response>),
    /// The request was answered, but the answer is no longer in memory.
    Evicted,
    /// The key was refused and can never start.
    Refused(kind::ErrorKind),
    /// The key belongs to another request.
    Reused,
    /// The request was sent to a target and its outcome is not known.
    Unknown,
    /// The key is older than the ledger remembers, or not yet valid.
    Expired,
    /// The ledger has no room for another key.
    Full,
}

impl Disposition {
    /// Returns the refusal that this is to a caller, if it is one.
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
