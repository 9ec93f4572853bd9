//! How an exchange with a target ended, as the load view counts it.

/// The end of an exchange with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The target answered within this time, in microseconds.
    Answered(u64),
    /// The target refused the request for want of room.
    Shed,
    /// The target could not be reached, or the exchange broke.
    Failed,
    /// No answer came within this time, in microseconds.
    Expired(u64),
    /// The caller went away; this says nothing of the target.
    Cancelled,
}

/// What a target says of itself on an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the target still runs, if it says so.
    pub running: Option<u32>,
    /// Whether the target says that it is leaving.
    pub is_leaving: bool,
}
