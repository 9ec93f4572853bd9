//! Record of a target.

use crate::name;

/// A target and what it can carry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target.
    pub name: name::Target,
    /// Service that the target runs.
    pub service: name::Service,
    /// Availability zone of the target.
    pub zone: name::Zone,
    /// Address that takes requests.
    pub address: super::Address,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Connections that the target holds open at most.
    pub connections: u32,
}
