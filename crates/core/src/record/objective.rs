//! Service-level objective (SLO).

use crate::unit;

/// The percentage of requests that must be answered without error and in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Percentage of the requests that must be good.
    pub good: unit::Percent,
    /// Maximum response time of a good request.
    pub within: unit::HumanDuration,
}
