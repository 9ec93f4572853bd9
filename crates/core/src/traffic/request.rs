//! A caller's request as the dispatcher sees it.

use std::sync;
use std::time;

use crate::instant;
use crate::name;

use super::account;
use super::hash;
use super::route;

/// A caller's request for which a target is selected.
#[derive(Clone, Debug)]
pub struct Request {
    /// Route that the request matched.
    pub route: sync::Arc<route::Route>,
    /// Client account of the caller; `None` on routes open to all.
    pub account: Option<sync::Arc<account::Account>>,
    /// Service that must run the request.
    pub service: name::Service,
    /// Hash of the affinity key, by which targets are preferred.
    pub affinity_key: hash::HashKey,
    /// When the request arrived.
    pub arrived: instant::Instant,
    /// When the caller's or the route's time-out ends.
    pub deadline: instant::Instant,
    /// Fingerprint, equal for each retry of the same request.
    pub fingerprint: u64,
    /// Targets that the request was sent to or that refused the connection.
    pub tried: Vec<name::Target>,
}

impl Request {
    /// Returns the priority, the account's if it has one; 0 is the most urgent.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let of_account = self.account.as_ref().and_then(|account| account.priority);
        of_account.unwrap_or(self.route.priority)
    }

    /// Returns the time left until the latency objective is missed.
    #[must_use]
    pub fn slack(&self, now: instant::Instant) -> time::Duration {
        self.route.objective.saturating_sub(now.since(self.arrived))
    }

    /// Returns whether a region may serve the request.
    #[must_use]
    pub fn allows_region(&self, region: &name::Region) -> bool {
        let of_account = self.account.as_ref().map(|account| &account.regions);
        let region_lists = [Some(&self.route.regions), of_account];
        let mut constraints = region_lists.into_iter().flatten();
        constraints.all(|regions| regions.is_empty() || regions.contains(region))
    }
}
