//! Load balancers of all services, and the retry budget that they share.

use std::collections;
use std::sync;

use skylark_core::catalog;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::steer;
use skylark_core::unit;

use super::service_balancer;

/// Load balancers of all services, at one version of the records.
#[derive(Debug)]
pub struct Services {
    /// Retry budget of this host.
    pub retry: steer::RetryBudget,
    version: unit::Version,
    hosts: usize,
    balancers: collections::BTreeMap<name::Service, service_balancer::ServiceBalancer>,
}

impl Services {
    /// Creates the state of a process that has no records.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            retry: steer::RetryBudget::new(instant::Instant::ORIGIN),
            version: unit::Version::NONE,
            hosts: 0,
            balancers: collections::BTreeMap::new(),
        }
    }

    /// Returns the load balancer of a service.
    pub fn get(
        &mut self,
        service: &name::Service,
    ) -> Option<&mut service_balancer::ServiceBalancer> {
        self.balancers.get_mut(service)
    }

    /// Installs newer records or another number of entry hosts.
    ///
    /// Measurements of targets and queued requests are kept for services that remain.
    pub fn install(
        &mut self,
        catalog: &sync::Arc<catalog::Catalog>,
        zone: &name::Zone,
        hosts: usize,
        now: instant::Instant,
    ) {
        if catalog.version < self.version || (catalog.version, hosts) == (self.version, self.hosts)
        {
            return;
        }
        self.version = catalog.version;
        self.hosts = hosts;
        self.balancers
            .retain(|name, _balancer| catalog.services.contains_key(name));
        for service in catalog.services.values() {
            let balancer = self
                .balancers
                .entry(service.name.clone())
                .or_insert_with(|| service_balancer::ServiceBalancer::new(service.queue));
            balancer.install(catalog, service, zone, hosts, now);
        }
    }
}
