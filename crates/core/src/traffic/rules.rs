//! Routes, accounts and services of one version of the configuration.

use std::collections;
use std::sync;

use crate::name;
use crate::record;
use crate::secret;

use super::account;
use super::limits;
use super::route;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Version, which only increases.
    pub version: u64,
    /// Limits of the services, by name.
    pub services: collections::HashMap<name::Service, limits::ServiceLimits>,
    /// Client accounts; empty if callers need no API key.
    pub accounts: Vec<sync::Arc<account::Account>>,
    /// Routes of each host name, longest prefix first.
    pub routes: collections::HashMap<String, Vec<sync::Arc<route::Route>>>,
    /// Limits on the requests of callers.
    pub limits: limits::CallerLimits,
}

/// The result of matching a request against the rules.
#[derive(Clone, Debug)]
pub enum RouteMatch {
    /// The request matched a route and may run, for an account if it has a valid key.
    Route(sync::Arc<route::Route>, Option<sync::Arc<account::Account>>),
    /// No route matches the host name and path.
    NoRoute,
    /// The route needs an API key, and the key is missing or not valid.
    NoKey,
}

impl Rules {
    /// Adds a route for a host name.
    pub fn add_route(&mut self, host: &str, route: route::Route) {
        let routes = self.routes.entry(host.to_ascii_lowercase()).or_default();
        let length = route.prefix.len();
        let position = routes.partition_point(|other| other.prefix.len() >= length);
        routes.insert(position, sync::Arc::new(route));
    }

    /// Finds the route and the client account of a request.
    #[must_use]
    pub fn find(&self, host: &str, path: &str, key: Option<&secret::Secret>) -> RouteMatch {
        let host_name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.routes.get(&host_name).map_or(&[][..], Vec::as_slice);
        let Some(route) = routes.iter().find(|r| path.starts_with(&r.prefix)) else {
            return RouteMatch::NoRoute;
        };
        let account = key.and_then(|key| self.account(key));
        let needs_key = route.access == record::Access::Keyed && !self.accounts.is_empty();
        if needs_key && account.is_none() {
            return RouteMatch::NoKey;
        }
        RouteMatch::Route(sync::Arc::clone(route), account)
    }

    /// Returns every route that may send requests to a service.
    pub fn routes_to<'a>(
        &'a self,
        service: &'a name::Service,
    ) -> impl Iterator<Item = &'a sync::Arc<route::Route>> {
        let routes = self.routes.values().flatten();
        routes.filter(move |route| route.split.iter().any(|part| part.service == *service))
    }

    fn account(&self, key: &secret::Secret) -> Option<sync::Arc<account::Account>> {
        let digest = key.digest();
        let holder = self.accounts.iter().find(|a| a.keys.contains(&digest));
        holder.map(sync::Arc::clone)
    }
}
