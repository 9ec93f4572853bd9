//! Record of the network link between two regions.

use crate::name;
use crate::unit;

/// The network link between two regions, shared by all traffic between them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Name of the link.
    pub name: String,
    /// The two regions that the link connects.
    pub between: [name::Region; 2],
    /// Bandwidth in each direction.
    pub bandwidth: unit::Bandwidth,
    /// One-way network delay.
    pub delay: unit::HumanDuration,
}
