//! Service-level objective.

use crate::unit;

/// The part of requests that must be answered well and in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Part of the requests that must be good.
    pub good: unit::Percent,
    /// Time within which a good request is answered.
    pub within: unit::HumanDuration,
}
