//! A relay's view of the whole fleet, sent to the hosts of its own availability zone.

use crate::name;

use super::report;

/// A relay's view of the whole fleet, for the hosts of its own availability zone.
///
/// Sending every zone's summary to every host would fill the relays' links. So a view
/// adds the sums up by region, and describes an unchanged host once in several rounds.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct FleetView {
    /// Availability zone of the relay.
    pub zone: name::Zone,
    /// Number of other hosts that the relay knows.
    pub hosts: u32,
    /// Hosts in the scope with the milliseconds since each was heard, the relay included.
    pub members: Vec<(report::Member, u16)>,
    /// Digests of the live hosts' names with the milliseconds since each was heard.
    pub ages: Vec<(u32, u16)>,
    /// Demand at the hosts of the other zones, by region.
    pub region_demand: Vec<(name::Region, report::Demand)>,
    /// Demand at the hosts of this zone; `None` if they report to each other directly.
    pub zone_demand: Option<report::Demand>,
    /// Fingerprints of requests that recently crashed targets, with these targets.
    pub crashes: Vec<(u64, name::Target)>,
}

/// The hosts that a message of a relay describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All hosts, for a host that received no view recently.
    Full,
    /// The hosts that changed, and one slice of the others in turn.
    Partial {
        /// Number of the slice, below `slices`.
        slice: u32,
        /// Number of slices in which every host is described once.
        slices: u32,
        /// Whether the message lists the age of every host.
        has_ages: bool,
    },
}

impl Scope {
    /// Returns whether an unchanged host is described, given the digest of its name.
    pub(super) const fn is_in_slice(self, digest: u32) -> bool {
        match self {
            Self::Full => true,
            Self::Partial { slice, slices, .. } => digest % slices == slice,
        }
    }

    /// Returns whether the message lists the age of every host.
    pub(super) const fn has_ages(self) -> bool {
        matches!(self, Self::Partial { has_ages: true, .. })
    }
}
