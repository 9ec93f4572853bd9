//! What entry hosts tell each other several times a second.

use std::net;

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
    pub orders: u64,
    /// Of the targets' rows.
    pub targets: u64,
}

impl Versions {
    /// Returns whether any part is newer than another host's.
    #[must_use]
    pub const fn is_newer(self, other: Self) -> bool {
        self.orders > other.orders || self.targets > other.targets
    }
}

/// Whether a host gets answers of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum StoreAccess {
    /// Its last calls were answered, or it made none.
    #[default]
    Reached,
    /// Its last call failed.
    Lost,
}

/// An entry host as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The host.
    pub host: name::Host,
    /// Number that differs between two lives of its process.
    pub life: u64,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Where callers reach it.
    pub callers: net::SocketAddr,
    /// Where other hosts reach it for its knowledge.
    pub control: net::SocketAddr,
    /// What it does for callers.
    pub phase: Phase,
    /// Newest changes that it knows.
    pub versions: Versions,
    /// Whether it gets answers of the store.
    pub store: StoreAccess,
}

/// What the callers of one or several hosts ask for; names stand as digests.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Demand {
    /// Requests a second of each client account that has a share.
    pub accounts: Vec<(u32, f32)>,
    /// Slots that the callers' requests keep busy, by service.
    pub services: Vec<(u32, f32)>,
    /// Requests at targets.
    pub loads: Vec<(u32, u16)>,
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
    pub deaths: Vec<(u64, name::Target)>,
}
