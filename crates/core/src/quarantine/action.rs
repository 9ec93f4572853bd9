//! What a host may do with a request, by its fingerprint.

use crate::name;

/// What a host may do with a request, by its fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request may be sent; its ending is reported back.
    Run,
    /// Another request with this fingerprint is the first; wait for its ending.
    Wait,
    /// A target died under the fingerprint; run it only with the table's probe.
    Probe,
    /// The request is held back.
    Refuse,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target gave a whole answer.
    Answered,
    /// The connection broke after bytes were sent, before a whole answer.
    Crashed(name::Target),
    /// Nothing was sent, or this side gave up.
    Inconclusive,
}
