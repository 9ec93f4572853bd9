//! What a search for a target comes to.

use std::time;

use super::pace;

/// A target that a request could go to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) position: usize,
    pub(super) order: usize,
    pub(super) warmth: pace::Warmth,
    pub(super) expected: time::Duration,
}

/// What a search for a target found.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Found {
    pub(super) choice: Option<Choice>,
    pub(super) is_any_usable: bool,
}
