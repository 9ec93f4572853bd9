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

/// How new a host's knowledge is, by the store's own count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Versions {
    /// Newest change of the operator's rows.
    pub orders: u64,
    /// Newest change of the targets' rows.
    pub targets: u64,
}

/// A host's report to the others.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
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
    /// How new its knowledge is.
    pub versions: Versions,
    /// Requests a second of each client account that has a share.
    pub accounts: Vec<(name::Account, f32)>,
    /// Slots that its callers' requests keep busy, by service.
    pub services: Vec<(name::Service, f32)>,
    /// Requests of this host at targets, by the targets' digests.
    pub loads: Vec<(u32, u16)>,
    /// Fingerprints of requests under which targets crashed lately.
    pub deaths: Vec<(u64, name::Target)>,
}
