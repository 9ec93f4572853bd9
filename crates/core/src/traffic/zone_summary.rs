//! What a relay tells other availability zones of its own one.

use crate::name;

use super::report;

/// What a relay tells other availability zones of its own one.
///
/// It answers fleets in which a report from each host to each would fill the
/// links between zones: the demand of a zone's hosts is added up, and only the
/// first hosts of each zone exchange the sums.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ZoneSummary {
    /// The availability zone.
    pub zone: name::Zone,
    /// Some of its hosts, with the milliseconds since each was heard; the relay is one.
    pub members: Vec<(report::Member, u16)>,
    /// Digests of its hosts' names, with the milliseconds since each was heard.
    pub ages: Vec<(u32, u16)>,
    /// What their callers ask for together.
    pub demand: report::Demand,
    /// Fingerprints of requests under which targets crashed lately.
    pub crashes: Vec<(u64, name::Target)>,
}
