//! Completion of a request to a target, as the target statistics count it.

/// Completion of a request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The target answered after this time, in microseconds.
    Answered(u64),
    /// The target shed the request because it had no free slot.
    Shed,
    /// The target could not be reached, or the connection broke.
    Failed,
    /// No response arrived within this time, in microseconds.
    Expired(u64),
    /// The caller disconnected, which says nothing about the target.
    Cancelled,
}

/// Load and drain state that a target reports in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that still run on the target, if reported.
    pub running: Option<u32>,
    /// Whether the target announces that it is leaving.
    pub is_leaving: bool,
}
