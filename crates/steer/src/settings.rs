//! Settings of the control process.

use std::num;
use std::time;

use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::control;

/// What a control process is told by its settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry host.
    pub host: name::Host,
    /// Availability zone of the entry host.
    pub zone: name::Zone,
    /// Addresses of the host's processes, as other hosts reach them.
    pub ports: control::Ports,
    /// Address on which to hear peers, where it is not the one that they reach.
    #[serde(default, rename = "steer_listen")]
    pub hear: Option<record::Address>,
    /// Address on which the look-up process takes control calls.
    #[serde(rename = "lookup_control")]
    pub lookup_control: record::Address,
    /// Address of health and readiness.
    pub admin: record::Address,
    /// Base address of the platform, such as `http://127.10.0.1:7000`.
    pub platform: String,
    /// Pause between two reads of the newest version.
    #[serde(default = "default_poll")]
    pub poll: unit::HumanDuration,
    /// Pause between two heartbeats.
    #[serde(default = "default_heartbeat")]
    pub heartbeat: unit::HumanDuration,
    /// Longest time for which a planned stop waits for the entry process.
    #[serde(default = "default_drain")]
    pub drain: unit::HumanDuration,
    /// Address that takes metrics as statsd datagrams; none sends none.
    #[serde(default)]
    pub statsd: Option<record::Address>,
    /// Worker threads.
    #[serde(default = "default_threads")]
    pub threads: num::NonZeroUsize,
}

impl Settings {
    /// Returns the time after which a peer that gives no sign of life counts as silent.
    #[must_use]
    pub fn patience(&self) -> time::Duration {
        self.heartbeat.get() * MISSED_HEARTBEATS
    }

    /// Returns the address on which to hear peers.
    #[must_use]
    pub fn steer_listen(&self) -> record::Address {
        self.hear.unwrap_or(self.ports.steer)
    }
}

const MISSED_HEARTBEATS: u32 = 3;
const DEFAULT_POLL_MILLIS: u64 = 500;
const DEFAULT_HEARTBEAT_MILLIS: u64 = 2_000;
const DEFAULT_DRAIN_MILLIS: u64 = 40_000;
const DEFAULT_THREADS: num::NonZeroUsize = num::NonZeroUsize::MIN;

const fn default_poll() -> unit::HumanDuration {
    unit::HumanDuration::from_millis(DEFAULT_POLL_MILLIS)
}

const fn default_heartbeat() -> unit::HumanDuration {
    unit::HumanDuration::from_millis(DEFAULT_HEARTBEAT_MILLIS)
}

const fn default_drain() -> unit::HumanDuration {
    unit::HumanDuration::from_millis(DEFAULT_DRAIN_MILLIS)
}

const fn default_threads() -> num::NonZeroUsize {
    DEFAULT_THREADS
}
