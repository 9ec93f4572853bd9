//! Settings of the control process.

use std::num;
use std::time;

use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::control;

/// Contents of the settings file of a control process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry host.
    pub host: name::Host,
    /// Availability zone of the entry host.
    pub zone: name::Zone,
    /// Addresses at which other hosts reach this host's processes.
    pub ports: control::Ports,
    /// Address on which to accept peers, if it differs from the one at which they reach this host.
    #[serde(default, rename = "steer_listen")]
    pub listen: Option<record::Address>,
    /// Address on which the look-up process accepts RPCs from this process.
    #[serde(rename = "lookup_control")]
    pub lookup_control: record::Address,
    /// Address that serves the health and readiness checks.
    pub admin: record::Address,
    /// Base address of the platform, such as `http://127.10.0.1:7000`.
    pub platform: String,
    /// Time between two polls of the table and of each peer.
    #[serde(default = "default_poll")]
    pub poll: unit::HumanDuration,
    /// Time between two heartbeats.
    #[serde(default = "default_heartbeat")]
    pub heartbeat: unit::HumanDuration,
    /// Longest time for which a shutdown waits for the entry process to drain.
    #[serde(default = "default_drain")]
    pub drain: unit::HumanDuration,
    /// Address to which metrics are sent as statsd datagrams; absent, none are sent.
    #[serde(default)]
    pub statsd: Option<record::Address>,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: num::NonZeroUsize,
}

impl Settings {
    /// Returns the suspicion time-out, after which a peer without a sign of life counts as silent.
    #[must_use]
    pub fn silence_timeout(&self) -> time::Duration {
        self.heartbeat.get() * MAX_MISSED_HEARTBEATS
    }

    /// Returns the address on which to accept peers.
    #[must_use]
    pub fn steer_listen(&self) -> record::Address {
        self.listen.unwrap_or(self.ports.steer)
    }
}

/// Heartbeat periods without a sign of life after which a peer counts as silent.
const MAX_MISSED_HEARTBEATS: u32 = 3;

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
