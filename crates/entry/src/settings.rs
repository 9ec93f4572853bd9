//! Settings of the entry process.

use std::num;

use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;

/// What an entry process is told by its settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry host.
    pub host: name::Host,
    /// Availability zone of the entry host.
    pub zone: name::Zone,
    /// Address that takes callers' requests.
    pub listen: record::Address,
    /// Address that takes the control process's calls.
    pub control: record::Address,
    /// Address that takes requests whose home is here from other hosts.
    pub home: record::Address,
    /// Address of health and readiness.
    pub admin: record::Address,
    /// Base address of the platform, such as `http://127.10.0.1:7000`.
    pub platform: String,
    /// Address that takes metrics as statsd datagrams; none sends none.
    #[serde(default)]
    pub statsd: Option<record::Address>,
    /// Longest time that a planned stop waits for requests that still run.
    #[serde(default = "default_drain")]
    pub drain: unit::HumanDuration,
    /// Worker threads.
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
