//! What a search for a target comes to.

use std::time;

use super::processing_time;

/// A target that a request could go to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) position: usize,
    pub(super) order: usize,
    pub(super) warmth: processing_time::Warmth,
    pub(super) expected: time::Duration,
}

/// What a search for a target found.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Found {
    pub(super) choice: Option<Candidate>,
    pub(super) is_any_usable: bool,
}
