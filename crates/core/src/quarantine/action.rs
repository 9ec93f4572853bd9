//! Decision of the breaker on a request, and outcome of its run.

use crate::name;

/// What a host may do with a request, according to its fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request may be sent, and its outcome must be reported to the breaker.
    Run,
    /// Another request with this fingerprint runs already, and its outcome must be awaited.
    Wait,
    /// A target crashed under the fingerprint, so the probe lock is needed to run it.
    Probe,
    /// The fingerprint is quarantined.
    Refuse,
}

/// Outcome of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target gave a complete response.
    Answered,
    /// The connection to this target broke after bytes were sent and before a complete response.
    Crashed(name::Target),
    /// Nothing was sent, or this host gave up first.
    Inconclusive,
}
