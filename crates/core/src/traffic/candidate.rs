//! The result of a search for a target.

use std::time;

use super::processing_time;

/// A target that a request could be sent to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Index of the target in its pool.
    pub(super) position: usize,
    /// Position in the request's preference order, 0 for the preferred target.
    pub(super) preference: usize,
    pub(super) warmth: processing_time::Warmth,
    /// Expected time to the answer.
    pub(super) latency: time::Duration,
}

/// The result of a search for a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Found {
    pub(super) candidate: Option<Candidate>,
    /// Whether any target was healthy and allowed new requests, even if all were full.
    pub(super) is_any_usable: bool,
}
