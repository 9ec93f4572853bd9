//! Traffic shift record.

use crate::name;
use crate::unit;

/// A planned shift of a service's traffic between two regions, up to a maximum rate.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    /// Name of the shift.
    pub name: String,
    /// Service whose traffic is shifted.
    pub service: name::Service,
    /// Region that the traffic is shifted away from.
    pub from: name::Region,
    /// Region that the traffic is shifted to.
    pub to: name::Region,
    /// Percentage of the `from` region's traffic that is shifted once the shift is complete.
    pub part: unit::Percent,
    /// Maximum rate of shifted requests, across all entry hosts.
    pub cap: unit::Rate,
}
