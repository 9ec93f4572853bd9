//! Settings file of the entry process.

use std::num;

use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;

/// Settings of an entry process, as its YAML file states them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry host.
    pub host: name::Host,
    /// Availability zone of the entry host.
    pub zone: name::Zone,
    /// Listening address for callers' HTTP requests.
    pub listen: record::Address,
    /// Listening address for RPC calls of the host's control process.
    pub control: record::Address,
    /// Listening address for RPC calls of other hosts' entry processes.
    pub home: record::Address,
    /// Listening address of the health and readiness endpoints.
    pub admin: record::Address,
    /// Base URL of the platform, such as `http://127.10.0.1:7000`.
    pub platform: String,
    /// Address that receives metrics as statsd datagrams; without it, none are sent.
    #[serde(default)]
    pub statsd: Option<record::Address>,
    /// Longest time that a graceful shutdown waits for running requests, 30 seconds by default.
    #[serde(default = "default_drain")]
    pub drain: unit::HumanDuration,
    /// Number of worker threads, two by default.
    #[serde(default = "default_threads")]
    pub threads: num::NonZeroUsize,
}

const DEFAULT_DRAIN_MILLIS: u64 = 30_000;
const DEFAULT_THREADS: num::NonZeroUsize = num::NonZeroUsize::MIN.saturating_add(1);

const fn default_drain() -> unit::HumanDuration {
    unit::HumanDuration::from_millis(DEFAULT_DRAIN_MILLIS)
}

const fn default_threads() -> num::NonZeroUsize {
    DEFAULT_THREADS
}
