//! Record of a traffic shift.

use crate::name;
use crate::unit;

/// A planned shift of a service's traffic between regions, under a cap.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    /// Name of the shift.
    pub name: String,
    /// Service whose traffic moves.
    pub service: name::Service,
    /// Region that gives traffic up.
    pub from: name::Region,
    /// Region that takes traffic on.
    pub to: name::Region,
    /// Part of the giving region's traffic that moves in the end.
    pub part: unit::Percent,
    /// Most shifted requests a second over all entry hosts.
    pub cap: unit::Rate,
}
