//! Emulated deployments with their delays and client accounts.

use std::time;

use skylark_core::budget;
use skylark_core::unit;

const ZONES_PER_REGION: usize = 2;
const TABLE_SERVICE_TIME: time::Duration = time::Duration::from_millis(2);

/// A deployment: delays between its entry hosts, and its client accounts.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name that reports print.
    pub name: &'static str,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// One-way delay between availability zones of a region, in microseconds.
    pub zone_delay: u64,
    /// One-way delay between regions, in microseconds.
    pub region_delay: u64,
    /// Rate and burst of each client account.
    pub accounts: Vec<budget::Limit>,
}

impl Deployment {
    /// Returns the deployment of the Board, with client accounts made for the experiment.
    #[must_use]
    pub fn board() -> Self {
        Self {
            name: "board",
            hosts: 11,
            zones: 6,
            zone_delay: 3_000,
            region_delay: 35_000,
            accounts: accounts(),
        }
    }

    /// Returns the deployment of Mwakyusa, with client accounts made for the experiment.
    #[must_use]
    pub fn mwakyusa() -> Self {
        Self {
            name: "mwakyusa",
            hosts: 11,
            zones: 6,
            zone_delay: 5_000,
            region_delay: 20_000,
            accounts: accounts(),
        }
    }

    /// Returns the availability zone of a host.
    #[must_use]
    pub const fn zone(&self, host: usize) -> usize {
        host % self.zones
    }

    /// Returns the one-way delay between two hosts, in microseconds.
    #[must_use]
    pub const fn delay(&self, from: usize, to: usize) -> u64 {
        let (a, b) = (self.zone(from), self.zone(to));
        if from == to {
            20
        } else if a == b {
            100
        } else if a / ZONES_PER_REGION == b / ZONES_PER_REGION {
            self.zone_delay
        } else {
            self.region_delay
        }
    }

    /// Returns the duration of one call to the table from a host, in microseconds.
    ///
    /// The store is in the region of host 0.
    #[must_use]
    pub fn table_call(&self, host: usize) -> u64 {
        let service_time = u64::try_from(TABLE_SERVICE_TIME.as_micros()).unwrap_or(u64::MAX);
        2 * self.delay(host, 0) + service_time
    }

    /// Returns the number of hosts in a host's zone.
    #[must_use]
    pub fn hosts_in_zone(&self, host: usize) -> usize {
        let zone = self.zone(host);
        (0..self.hosts).filter(|h| self.zone(*h) == zone).count()
    }
}

/// Returns eight limits, a few of them large; the burst is one second of the rate.
fn accounts() -> Vec<budget::Limit> {
    let rates = [400, 300, 150, 60, 40, 30, 20, 10];
    let limit = |rate| budget::Limit::of_requests(unit::Rate::per_second(rate), rate);
    rates.into_iter().map(limit).collect()
}
