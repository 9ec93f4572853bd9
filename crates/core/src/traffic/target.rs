//! A target's description of itself.

use std::fmt;
use std::net;
use std::time;

use crate::name;

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// The target takes new requests.
    Ready,
    /// The target finishes its requests and takes no new ones.
    Draining,
}

impl fmt::Display for TargetState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
        })
    }
}

/// A target of a service, as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name that the target must confirm before it runs a request.
    pub id: name::Target,
    /// Service that the target belongs to.
    pub service: name::Service,
    /// Address that the target listens on.
    pub address: net::SocketAddr,
    /// Availability zone of the target.
    pub zone: name::Zone,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Whether the target takes new requests.
    pub state: TargetState,
    /// Time for which the target stays cold, from the time of this description.
    pub warmup_left: time::Duration,
    /// Unix time of the target's start in milliseconds, if known.
    pub started_millis: Option<u64>,
    /// Number of this description, which rises during one run of the target.
    pub sequence: u64,
}
