//! Record of the link between two regions.

use crate::name;
use crate::unit;

/// The link between a pair of regions, shared by all traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Name of the link.
    pub name: String,
    /// The two regions.
    pub between: [name::Region; 2],
    /// Bandwidth each way.
    pub bandwidth: unit::Bandwidth,
    /// One-way delay.
    pub delay: unit::HumanDuration,
}
