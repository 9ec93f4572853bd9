//! Settings of the look-up process.

use std::num;

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
    pub threads: num::NonZeroUsize,
}

const DEFAULT_THREADS: num::NonZeroUsize = num::NonZeroUsize::MIN.saturating_add(1);

const fn default_threads() -> num::NonZeroUsize {
    DEFAULT_THREADS
}
