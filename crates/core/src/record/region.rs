//! Region record.

use crate::name;
use crate::unit;

/// A region and its availability zones.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name of the region.
    pub name: name::Region,
    /// Availability zones in the region.
    pub zones: Vec<name::Zone>,
    /// One-way network delay between the region's availability zones.
    pub delay: unit::HumanDuration,
}
