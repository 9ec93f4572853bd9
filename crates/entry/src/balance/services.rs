//! The lines of all services, and the budget of further attempts.

use std::collections;
use std::sync;

use skylark_core::catalog;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::steer;
use skylark_core::unit;

use super::service_balancer;

/// The lines of all services, at one version of the records.
#[derive(Debug)]
pub struct Services {
    /// Budget of further attempts of this host.
    pub retry: steer::RetryBudget,
    version: unit::Version,
    hosts: usize,
    services: collections::BTreeMap<name::Service, service_balancer::ServiceBalancer>,
}

impl Services {
    /// Creates the lines of a process that has no records.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            retry: steer::RetryBudget::new(instant::Instant::ORIGIN),
            version: unit::Version::NONE,
            hosts: 0,
            services: collections::BTreeMap::new(),
        }
    }

    /// Returns the line of a service.
    pub fn get(
        &mut self,
        service: &name::Service,
    ) -> Option<&mut service_balancer::ServiceBalancer> {
        self.services.get_mut(service)
    }

    /// Takes newer records, keeping what was seen of the targets and who waits.
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
        self.services
            .retain(|name, _line| catalog.services.contains_key(name));
        for service in catalog.services.values() {
            let line = self
                .services
                .entry(service.name.clone())
                .or_insert_with(|| service_balancer::ServiceBalancer::new(service.queue));
            line.install(catalog, service, zone, hosts, now);
        }
    }
}
