//! Burn rate of a service over time.

use crate::name;
use crate::timestamp;

/// Burn rate of a service in equal steps of time.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Series {
    /// The service.
    pub service: name::Service,
    /// Burn rates, in order of time.
    pub points: Vec<Point>,
}

/// Burn rate over one step of time.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Point {
    /// Start of the step.
    pub at: timestamp::Timestamp,
    /// Burn rate over the step.
    #[serde(rename = "burn")]
    pub burn_rate: f64,
}
