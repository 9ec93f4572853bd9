//! What one client account got of one service.

use crate::name;
use crate::unit;

use super::count;
use super::latency;

/// What one client account got of one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Row {
    /// The service.
    pub service: name::Service,
    /// The client account, none for routes open to all.
    pub account: Option<name::Account>,
    /// Part of the requests that must be good.
    pub objective: unit::Percent,
    /// Time within which a good request is answered.
    pub within: unit::HumanDuration,
    /// Requests by judgement, over all records.
    pub count: count::Count,
    /// Part of the error budget that is spent over all records; above 1 the objective is missed.
    pub spent: f64,
    /// Burn rate over the short window.
    #[serde(rename = "short_burn")]
    pub short: f64,
    /// Burn rate over the long window.
    #[serde(rename = "long_burn")]
    pub long: f64,
    /// Latency of answered requests.
    pub latency: latency::Latency,
}
