//! Deployment policy record.

use crate::unit;

/// How the system trades conflicting goals against each other, for the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Percentage of each budget that is reserved as fixed shares of the availability zones.
    pub reserve: unit::Percent,
    /// What an entry host does when its local tokens run out.
    pub shortage: Shortage,
    /// Age of the freshness proof from which requests to keyed routes are refused.
    #[serde(rename = "stale_after")]
    pub stale_after: unit::HumanDuration,
    /// How long callers may cache the answer to a look-up.
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

/// What an entry host does when its local tokens run out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shortage {
    /// Asks the budget's owner for tokens while the request's deadline allows.
    Ask,
    /// Refuses the request immediately.
    Refuse,
}
