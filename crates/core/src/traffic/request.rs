//! A request that asks for a target.

use std::sync;
use std::time;

use crate::instant;
use crate::name;

use super::account;
use super::hash;
use super::route;

/// A request that asks for a target.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its route.
    pub route: sync::Arc<route::Route>,
    /// Its client account, none on routes open to all.
    pub account: Option<sync::Arc<account::Account>>,
    /// The service that is to run it.
    pub service: name::Service,
    /// What it is about.
    pub affinity_key: hash::HashKey,
    /// When it arrived.
    pub arrived: instant::Instant,
    /// When its caller or its route stops waiting.
    pub deadline: instant::Instant,
    /// Fingerprint, the same for each resend of the request.
    pub fingerprint: u64,
    /// Targets that it was sent to or that could not be reached.
    pub tried: Vec<name::Target>,
}

impl Request {
    /// Returns its rank; 0 is the most urgent.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let of_account = self.account.as_ref().and_then(|account| account.priority);
        of_account.unwrap_or(self.route.priority)
    }

    /// Returns the time left to its objective.
    #[must_use]
    pub fn slack(&self, now: instant::Instant) -> time::Duration {
        self.route.objective.saturating_sub(now.since(self.arrived))
    }

    /// Returns whether a region may serve it.
    #[must_use]
    pub fn allows_region(&self, region: &name::Region) -> bool {
        let of_account = self.account.as_ref().map(|account| &account.regions);
        let lists = [Some(&self.route.regions), of_account];
        let mut limits = lists.into_iter().flatten();
        limits.all(|regions| regions.is_empty() || regions.contains(region))
    }
}
