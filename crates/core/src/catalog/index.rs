//! The records of one version, indexed by name.

use std::collections;

use crate::name;
use crate::record;
use crate::secret;
use crate::unit;

/// All records of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    /// The version of the records.
    pub version: unit::Version,
    /// Client accounts.
    pub accounts: collections::BTreeMap<name::Account, record::Account>,
    /// Keys that may be used, by digest.
    pub keys: collections::BTreeMap<secret::Digest, record::Key>,
    /// Services.
    pub services: collections::BTreeMap<name::Service, record::Service>,
    /// Targets.
    pub targets: collections::BTreeMap<name::Target, record::Target>,
    /// Regions.
    pub regions: collections::BTreeMap<name::Region, record::Region>,
    /// The region of each availability zone.
    pub zones: collections::BTreeMap<name::Zone, name::Region>,
    /// Links between regions.
    pub links: Vec<record::Link>,
    /// Traffic shifts.
    pub shifts: Vec<record::Shift>,
    /// Planned drains.
    pub drains: Vec<record::Drain>,
    /// What the deployment weighs most.
    pub policy: record::Policy,
}

/// The route that serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteMatch<'a> {
    /// The service of the route.
    pub service: &'a record::Service,
    /// The route.
    pub route: &'a record::Route,
}

impl RouteMatch<'_> {
    /// Returns whether a request that states no deadline waits for spare room.
    #[must_use]
    pub fn is_batch(&self, account: Option<&record::Account>) -> bool {
        let class = account.map(record::Account::class).unwrap_or_default();
        self.route.batch || class == record::Class::Batch
    }
}

impl Catalog {
    /// Finds the route with the longest path, by whole segments, that takes the method.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<RouteMatch<'_>> {
        let places = self.services.values().flat_map(|service| {
            service
                .routes
                .iter()
                .map(move |route| RouteMatch { service, route })
        });
        places
            .filter(|place| takes(place.route, method, path))
            .max_by_key(|place| place.route.path.len())
    }

    /// Returns whether a target gets no new work by record.
    #[must_use]
    pub fn is_drained(&self, target: &record::Target) -> bool {
        self.drains.iter().any(|drain| match &drain.subject {
            record::Subject::Target(name) => *name == target.name,
            record::Subject::Zone(zone) => *zone == target.zone,
            record::Subject::Host(_) | record::Subject::Ended(_) => false,
        })
    }
}

fn takes(route: &record::Route, method: &str, path: &str) -> bool {
    covers(&route.path, path) && route.methods.iter().any(|known| known == method)
}

/// Returns whether a path is a route's, or lies below it by whole segments.
fn covers(route: &str, path: &str) -> bool {
    path.strip_prefix(route)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || route.ends_with('/'))
}
