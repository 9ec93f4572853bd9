//! What entry hosts tell each other several times a second.

use std::collections;
use std::net;
use std::ops;

use crate::name;

/// What a host does for callers now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Phase {
    /// It has no rules or no targets yet.
    Starting,
    /// It serves.
    Ready,
    /// It finishes what it has and is to get nothing new.
    Leaving,
}

/// Versions of the store, by kind of rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Versions {
    /// Of the operator's rows.
    pub config: u64,
    /// Of the targets' rows.
    pub targets: u64,
}

impl Versions {
    /// Returns whether any part is newer than another host's.
    #[must_use]
    pub const fn is_newer(self, other: Self) -> bool {
        self.config > other.config || self.targets > other.targets
    }
}

/// Whether a host gets answers of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum StoreAccess {
    /// Its last calls were answered, or it made none.
    #[default]
    Available,
    /// Its last call failed.
    Unavailable,
}

/// An entry host as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The host.
    pub host: name::Host,
    /// Number that differs between two lives of its process.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Where callers reach it.
    pub caller_address: net::SocketAddr,
    /// Where other hosts reach it for its knowledge.
    pub control_address: net::SocketAddr,
    /// What it does for callers.
    pub phase: Phase,
    /// Newest changes that it knows.
    pub versions: Versions,
    /// Whether it gets answers of the store.
    pub store_access: StoreAccess,
}

/// What the callers of one or several hosts ask for; names stand as digests.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Demand {
    /// Requests a second of each client account that has a share.
    pub accounts: Vec<(u32, f32)>,
    /// Slots that the callers' requests keep busy, by service.
    pub services: Vec<(u32, f32)>,
    /// Requests at targets; none in a message that leaves them as they were told before.
    pub loads: Option<Vec<(u32, u16)>>,
}

impl Demand {
    /// Takes over the requests at targets from what was told before, if this leaves them out.
    #[must_use]
    pub(super) fn with_loads_of(mut self, before: Option<Self>) -> Self {
        self.loads = self.loads.or_else(|| before?.loads);
        self
    }

    /// Returns what is left of a sum without a part of it.
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

/// The demand of several hosts, while it is added up.
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

    /// Returns the sum, with or without the requests at targets.
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

/// A host's report to the others.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The host.
    pub member: Member,
    /// What its callers ask for.
    pub demand: Demand,
    /// Fingerprints of requests under which targets crashed lately.
    pub crashes: Vec<(u64, name::Target)>,
    /// Whether it heard no relay lately and asks for a whole view.
    pub is_view_needed: bool,
}
