//! Record of what a deployment weighs most.

use crate::unit;

/// What the system does where the users' measures pull apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Part of each budget that is kept as fixed shares of the availability zones.
    pub reserve: unit::Percent,
    /// What an entry host does when its own tokens run out.
    pub shortage: Shortage,
    /// Age of the last proof of freshness past which keyed routes are refused.
    #[serde(rename = "stale_after")]
    pub stale_after: unit::HumanDuration,
    /// How long callers may keep a look-up answer.
    #[serde(rename = "answer_ttl")]
    pub answer_ttl: unit::HumanDuration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            reserve: unit::Percent::from_basis_points(5_000),
            shortage: Shortage::Ask,
            stale_after: unit::HumanDuration::from_millis(5_000),
            answer_ttl: unit::HumanDuration::from_millis(5_000),
        }
    }
}

/// What an entry host does when its own tokens run out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shortage {
    /// Ask the budget's owner while the deadline allows.
    Ask,
    /// Refuse at once.
    Refuse,
}
