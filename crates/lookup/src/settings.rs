//! Settings of the look-up process.

use std::num;

use skylark_core::name;
use skylark_core::record;

/// Contents of the settings file of a look-up process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry host.
    pub host: name::Host,
    /// Availability zone of the entry host.
    pub zone: name::Zone,
    /// Address on which look-ups from callers are accepted.
    pub listen: record::Address,
    /// Address on which RPCs from the control process are accepted.
    pub control: record::Address,
    /// Address that serves the health and readiness checks.
    pub admin: record::Address,
    /// Address to which metrics are sent as statsd datagrams; absent, none are sent.
    #[serde(default)]
    pub statsd: Option<record::Address>,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: num::NonZeroUsize,
}

const DEFAULT_THREADS: num::NonZeroUsize = num::NonZeroUsize::MIN.saturating_add(1);

const fn default_threads() -> num::NonZeroUsize {
    DEFAULT_THREADS
}
