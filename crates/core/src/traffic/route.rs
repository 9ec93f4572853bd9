//! A route as the rules describe it.

use std::time;

use crate::name;
use crate::record;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Idempotent requests may be sent again after any failure.
    Idempotent,
    /// Other requests run once at most.
    NotIdempotent,
}

/// The part of a route's requests that one service gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: name::Service,
    /// Share of the requests, relative to the other parts.
    pub weight: u32,
}

/// Requests of one host name below one prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// Longest time for which a request is kept waiting.
    pub timeout: time::Duration,
    /// Time within which an answer is worth most.
    pub objective: time::Duration,
    /// Rank of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that run its requests.
    pub split: Vec<WeightedService>,
    /// Targets to which one request is sent at most.
    pub max_attempts: usize,
    /// Whether callers need a key.
    pub access: record::Access,
    /// Whether targets answer faster for objects that they handled lately.
    pub has_affinity: bool,
    /// Regions that may serve the route, empty for all.
    pub regions: Vec<name::Region>,
}

impl Route {
    /// Returns whether a request may be sent again when it may have run.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
    }
}
