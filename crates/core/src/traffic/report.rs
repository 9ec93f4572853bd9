//! The report that entry hosts send each other several times a second.

use std::collections;
use std::fmt;
use std::net;
use std::ops;

use crate::name;

use super::position;

/// The stage in the life cycle of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Phase {
    /// The host has no rules or no targets yet.
    Starting,
    /// The host serves requests.
    Ready,
    /// The host finishes its requests and must get no new ones.
    Leaving,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Leaving => "leaving",
        })
    }
}

/// The positions of the store's tables that a host has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Versions {
    /// Position of the operators' configuration rows.
    pub config: position::Position,
    /// Position of the targets' rows.
    pub targets: position::Position,
}

impl Versions {
    /// Returns whether either position is newer than in `other`.
    #[must_use]
    pub fn is_newer(self, other: Self) -> bool {
        self.config > other.config || self.targets > other.targets
    }
}

/// Whether a host can reach the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum StoreAccess {
    /// The last calls were answered, or none was made.
    #[default]
    Available,
    /// The last call failed.
    Unavailable,
}

/// An entry host's description of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Name of the host.
    pub host: name::Host,
    /// Number that differs between two runs of the host's process.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Address that callers connect to.
    pub caller_address: net::SocketAddr,
    /// Address that other hosts connect to, to read the tables of the store.
    pub control_address: net::SocketAddr,
    /// Stage in the life cycle of the host.
    pub phase: Phase,
    /// Versions of the newest changes that the host knows.
    pub versions: Versions,
    /// Whether the host can reach the store.
    pub store_access: StoreAccess,
}

/// The demand at one or several hosts, with names as digests.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Demand {
    /// Requests per second of each client account that has a limit.
    pub accounts: Vec<(u32, f32)>,
    /// Slots that the requests keep busy, by service.
    pub services: Vec<(u32, f32)>,
    /// Requests at each target; `None` in a brief message, which leaves the earlier ones valid.
    pub loads: Option<Vec<(u32, u16)>>,
}

impl Demand {
    /// Takes the requests at targets from an earlier message if this one leaves them out.
    #[must_use]
    pub(super) fn with_loads_of(mut self, previous: Option<Self>) -> Self {
        self.loads = self.loads.or_else(|| previous?.loads);
        self
    }

    /// Subtracts a part from this sum, down to zero.
    #[must_use]
    pub fn without(mut self, part: &Self) -> Self {
        let accounts: collections::HashMap<u32, f32> = part.accounts.iter().copied().collect();
        let services: collections::HashMap<u32, f32> = part.services.iter().copied().collect();
        let loads = part.loads.iter().flatten().copied();
        let loads: collections::HashMap<u32, u16> = loads.collect();
        for (account, rate) in &mut self.accounts {
            *rate = (*rate - accounts.get(account).unwrap_or(&0.0)).max(0.0);
        }
        for (service, slots) in &mut self.services {
            *slots = (*slots - services.get(service).unwrap_or(&0.0)).max(0.0);
        }
        for (target, requests) in self.loads.iter_mut().flatten() {
            *requests = requests.saturating_sub(*loads.get(target).unwrap_or(&0));
        }
        self
    }
}

/// The running sum of several hosts' demand.
#[derive(Clone, Debug, Default)]
pub(super) struct Total {
    accounts: collections::BTreeMap<u32, f32>,
    services: collections::BTreeMap<u32, f32>,
    loads: collections::BTreeMap<u32, u16>,
}

impl Total {
    /// Adds the demand of one or several hosts.
    pub(super) fn add(&mut self, demand: &Demand) {
        add(&mut self.accounts, &demand.accounts);
        add(&mut self.services, &demand.services);
        for (target, requests) in demand.loads.iter().flatten() {
            let sum = self.loads.entry(*target).or_default();
            *sum = sum.saturating_add(*requests);
        }
    }

    /// Returns the sum with or without the requests at targets.
    pub(super) fn into_demand(self, has_loads: bool) -> Demand {
        let loads = has_loads.then(|| self.loads.into_iter().collect());
        Demand {
            accounts: self.accounts.into_iter().collect(),
            services: self.services.into_iter().collect(),
            loads,
        }
    }
}

fn add<V>(sums: &mut collections::BTreeMap<u32, V>, parts: &[(u32, V)])
where
    V: Copy + Default + ops::AddAssign,
{
    for (key, value) in parts {
        *sums.entry(*key).or_default() += *value;
    }
}

/// A host's report to the other hosts.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The host's description of itself.
    pub member: Member,
    /// Demand of the host's callers.
    pub demand: Demand,
    /// Fingerprints of requests that recently crashed targets, with these targets.
    pub crashes: Vec<(u64, name::Target)>,
    /// Whether the host received no view recently and requests a full one.
    pub is_view_needed: bool,
}
