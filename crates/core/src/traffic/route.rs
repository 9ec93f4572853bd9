//! A route as the rules define it.

use std::time;

use crate::name;
use crate::record;

/// Whether requests may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Requests may be retried after any failure.
    Idempotent,
    /// Requests run at most once.
    NotIdempotent,
}

/// A service with its weight in the traffic split of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: name::Service,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// The requests for one host name whose paths begin with one prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub idempotency: Idempotency,
    /// Longest time from the arrival of a request to its answer.
    pub timeout: time::Duration,
    /// Latency objective of the answers.
    pub objective: time::Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that run the requests, with their weights.
    pub split: Vec<WeightedService>,
    /// Largest number of targets that one request is sent to.
    pub max_attempts: usize,
    /// Whether callers need an API key.
    pub access: record::Access,
    /// Whether targets answer faster for affinity keys that they handled recently.
    pub has_affinity: bool,
    /// Regions that may serve the route; empty means all.
    pub regions: Vec<name::Region>,
}

impl Route {
    /// Returns whether a request may be retried although it may have run.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
    }
}
