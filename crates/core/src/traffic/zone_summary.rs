//! A relay's summary of its own availability zone, sent to the relays of other zones.

use crate::name;

use super::report;

/// A relay's summary of its own availability zone.
///
/// A report from each host to each host would fill the links between zones. So the
/// demand of a zone's hosts is added up, and only the relays of each zone exchange it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ZoneSummary {
    /// Availability zone of the relay.
    pub zone: name::Zone,
    /// Hosts in the scope with the milliseconds since each was heard, the relay included.
    pub members: Vec<(report::Member, u16)>,
    /// Digests of the names of the zone's hosts with the milliseconds since each was heard.
    pub ages: Vec<(u32, u16)>,
    /// Demand of the zone's hosts together.
    pub demand: report::Demand,
    /// Fingerprints of requests that recently crashed targets, with these targets.
    pub crashes: Vec<(u64, name::Target)>,
}
