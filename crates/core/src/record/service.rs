//! Record of a service.

use crate::name;
use crate::unit;

/// A service that targets run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: name::Service,
    /// Requests that the service takes.
    pub routes: Vec<super::Route>,
    /// Deadline of a request that states none.
    pub deadline: unit::HumanDuration,
    /// Requests that may wait for a slot on one entry host.
    pub queue: u32,
    /// Service-level objective.
    pub objective: super::Objective,
}
