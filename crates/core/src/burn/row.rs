//! Row of the report: one service as one client account received it.

use crate::name;
use crate::unit;

use super::count;
use super::latency;

/// Results of one client account at one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Row {
    /// Service that received the requests.
    pub service: name::Service,
    /// Client account that sent the requests; `None` for open routes.
    pub account: Option<name::Account>,
    /// Fraction of the requests that must be good.
    pub objective: unit::Percent,
    /// Time limit for a good request.
    pub within: unit::HumanDuration,
    /// Number of requests of each class, over all records.
    pub count: count::Count,
    /// Spent fraction of the error budget over all records; above 1 the objective is missed.
    pub spent: f64,
    /// Burn rate over the short window.
    #[serde(rename = "short_burn")]
    pub short: f64,
    /// Burn rate over the long window.
    #[serde(rename = "long_burn")]
    pub long: f64,
    /// Latency percentiles of answered requests.
    pub latency: latency::Latency,
}
