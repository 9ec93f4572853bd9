//! Settings of the look-up process.

use skylark_core::name;
use skylark_core::record;

/// What a look-up process is told by its settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry host.
    pub host: name::Host,
    /// Availability zone of the entry host.
    pub zone: name::Zone,
    /// Address that takes callers' look-ups.
    pub listen: record::Address,
    /// Address that takes the control process's calls.
    pub control: record::Address,
    /// Address of health and readiness.
    pub admin: record::Address,
    /// Address that takes metrics as statsd datagrams; none sends none.
    #[serde(default)]
    pub statsd: Option<record::Address>,
    /// Worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

const DEFAULT_THREADS: usize = 2;

const fn default_threads() -> usize {
    DEFAULT_THREADS
}
