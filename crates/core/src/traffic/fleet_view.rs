//! What a relay tells the hosts of its own availability zone of the whole fleet.

use crate::name;

use super::report;

/// What a relay tells the hosts of its own availability zone of the whole fleet.
///
/// It answers fleets in which every zone's sum, passed on to every host, would
/// fill the relays' links: the sums are added up by region, and an unchanged
/// host is described once in several rounds.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct FleetView {
    /// The availability zone.
    pub zone: name::Zone,
    /// Hosts that the relay knows.
    pub hosts: u32,
    /// Some of them, with the milliseconds since each was heard; the relay is one.
    pub members: Vec<(report::Member, u16)>,
    /// Digests of the live hosts' names, with the milliseconds since each was heard.
    pub ages: Vec<(u32, u16)>,
    /// What the callers of the other zones' hosts ask for, by region.
    pub region_demand: Vec<(name::Region, report::Demand)>,
    /// What the callers of this zone's hosts ask for, where they tell their relays only.
    pub zone_demand: Option<report::Demand>,
    /// Fingerprints of requests under which targets crashed lately.
    pub crashes: Vec<(u64, name::Target)>,
}

/// How many hosts a message of a relay describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All hosts, for one that heard no view lately.
    Full,
    /// Those that changed, and some of the others in turn.
    Partial {
        /// Number of the turn, below `slices`.
        slice: u32,
        /// Turns in which every host is described once.
        slices: u32,
        /// Whether the message lists when all hosts were heard.
        has_ages: bool,
    },
}

impl Scope {
    /// Returns whether a host that did not change is described, by the digest of its name.
    pub(super) const fn is_in_slice(self, digest: u32) -> bool {
        match self {
            Self::Full => true,
            Self::Partial { slice, slices, .. } => digest % slices == slice,
        }
    }

    /// Returns whether the message lists when all hosts were heard.
    pub(super) const fn has_ages(self) -> bool {
        matches!(self, Self::Partial { has_ages: true, .. })
    }
}
