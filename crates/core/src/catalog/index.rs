//! Index of the records of one version by name.

use std::collections;

use crate::name;
use crate::record;
use crate::secret;
use crate::unit;

/// Records of one version, indexed by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    /// Version of the records.
    pub version: unit::Version,
    /// Client accounts by name.
    pub accounts: collections::BTreeMap<name::Account, record::Account>,
    /// Valid keys by digest; withdrawn keys are left out.
    pub keys: collections::BTreeMap<secret::Digest, record::Key>,
    /// Services by name.
    pub services: collections::BTreeMap<name::Service, record::Service>,
    /// Targets by name.
    pub targets: collections::BTreeMap<name::Target, record::Target>,
    /// Regions by name.
    pub regions: collections::BTreeMap<name::Region, record::Region>,
    /// Region of each availability zone.
    pub zones: collections::BTreeMap<name::Zone, name::Region>,
    /// Links between regions.
    pub links: Vec<record::Link>,
    /// Traffic shifts.
    pub shifts: Vec<record::Shift>,
    /// Planned drains.
    pub drains: Vec<record::Drain>,
    /// Policy of the deployment for cases where its goals conflict.
    pub policy: record::Policy,
}

/// Route that matches a request, with its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteMatch<'a> {
    /// Service that the route belongs to.
    pub service: &'a record::Service,
    /// Matching route.
    pub route: &'a record::Route,
}

impl RouteMatch<'_> {
    /// Returns whether a request without a deadline is batch work, which waits for free slots.
    #[must_use]
    pub fn is_batch(&self, account: Option<&record::Account>) -> bool {
        let class = account.map(record::Account::class).unwrap_or_default();
        self.route.batch || class == record::Class::Batch
    }
}

impl Catalog {
    /// Returns the route for the method with the longest matching path prefix, by whole segments.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<RouteMatch<'_>> {
        let all_routes = self.services.values().flat_map(|service| {
            service
                .routes
                .iter()
                .map(move |route| RouteMatch { service, route })
        });
        all_routes
            .filter(|found| matches_request(found.route, method, path))
            .max_by_key(|found| found.route.path.len())
    }

    /// Returns whether a drain record excludes a target or its zone from new requests.
    #[must_use]
    pub fn is_drained(&self, target: &record::Target) -> bool {
        self.drains.iter().any(|drain| match &drain.subject {
            record::Subject::Target(name) => *name == target.name,
            record::Subject::Zone(zone) => *zone == target.zone,
            record::Subject::Host(_) | record::Subject::Ended(_) => false,
        })
    }
}

fn matches_request(route: &record::Route, method: &str, path: &str) -> bool {
    has_prefix(&route.path, path) && route.methods.iter().any(|allowed| allowed == method)
}

/// Returns whether a path equals the prefix or continues it with whole segments.
fn has_prefix(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}
