//! Service record.

use crate::name;
use crate::unit;

/// A service and its routes; targets run it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: name::Service,
    /// Routes of the requests that the service accepts.
    pub routes: Vec<super::Route>,
    /// Deadline of requests that state none.
    pub deadline: unit::HumanDuration,
    /// Maximum number of requests that wait for a slot on one entry host.
    pub queue: u32,
    /// Service-level objective.
    pub objective: super::Objective,
}
