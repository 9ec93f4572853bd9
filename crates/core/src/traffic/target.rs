//! A target as it describes itself.

use std::net;
use std::time;

use crate::name;

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It takes new requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// A target of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name that the target must confirm before it runs a request.
    pub id: name::Target,
    /// Service that it belongs to.
    pub service: name::Service,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: TargetState,
    /// How much longer it stays cold after it said so.
    pub warmup_left: time::Duration,
    /// Unix time of its start in milliseconds, none where it did not say.
    pub started_millis: Option<u64>,
}
