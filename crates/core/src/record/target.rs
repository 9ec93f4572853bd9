//! Target record.

use crate::name;

/// A target and its capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target.
    pub name: name::Target,
    /// Service that the target runs.
    pub service: name::Service,
    /// Availability zone that the target is in.
    pub zone: name::Zone,
    /// Address that accepts requests.
    pub address: super::Address,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Maximum number of open connections to the target.
    pub connections: u32,
}
