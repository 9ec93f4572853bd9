//! Time series of a service's burn rate.

use crate::name;
use crate::timestamp;

/// Time series of a service's burn rate, in equal time steps.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Series {
    /// Service that the burn rates belong to.
    pub service: name::Service,
    /// Burn rates, in time order; steps without requests are left out.
    pub points: Vec<Point>,
}

/// Burn rate over one time step.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Point {
    /// Start of the step.
    pub at: timestamp::Timestamp,
    /// Burn rate over the step.
    #[serde(rename = "burn")]
    pub burn_rate: f64,
}
