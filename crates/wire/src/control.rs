//! RPC by which a host's control process configures the host's entry and look-up processes.

use skylark_core::instant;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;

/// RPC service that entry and look-up processes offer on their control address.
#[tarpc::service]
pub trait Control {
    /// Returns the current time of the receiver's monotonic clock.
    async fn clock() -> instant::Instant;

    /// Puts a view in force, unless a newer version is in force already.
    async fn install(view: View) -> Installed;
}

/// A version of the records, together with the known entry hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct View {
    /// Version of the records.
    pub version: unit::Version,
    /// The records, absent if the receiver already has this version.
    pub records: Option<Vec<record::Document>>,
    /// Instant at or before the last proof that no newer version was accepted.
    ///
    /// On the receiver's clock; absent if nothing was proven since the receiver's start.
    pub fresh_at: Option<instant::Instant>,
    /// Entry hosts known to be serving.
    pub hosts: Vec<Host>,
}

/// An incarnation of an entry host, as announced to other hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Host {
    /// Name of the entry host.
    pub host: name::Host,
    /// Incarnation of its entry process.
    pub incarnation: name::Incarnation,
    /// Availability zone of the entry host.
    pub zone: name::Zone,
    /// Addresses on which the host's processes listen.
    pub ports: Ports,
    /// Phase of its life cycle, which tells whether it accepts new requests.
    pub phase: Phase,
}

/// Addresses on which the processes of an entry host listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ports {
    /// Entry process, for callers' requests.
    pub entry: record::Address,
    /// Entry process, for the [`Control`] service.
    pub control: record::Address,
    /// Entry process, for requests forwarded to their home by other hosts.
    pub home: record::Address,
    /// Look-up process, for callers that choose an entry host.
    pub lookup: record::Address,
    /// Control process, for its peers on other hosts.
    pub steer: record::Address,
}

/// Phase in the life cycle of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Waits for its share of the budgets; look-up answers don't name it yet.
    Starting,
    /// Accepts new requests.
    Serving,
    /// Drains: finishes the requests in progress and accepts no new ones.
    Leaving,
}

/// The reply to an install: what the process has in force after it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Installed {
    /// Version in force.
    pub version: unit::Version,
    /// Incarnation of the process, absent for a look-up process.
    pub incarnation: Option<name::Incarnation>,
    /// Whether the process lacks the records of the version in the view.
    #[serde(rename = "wants")]
    pub needs_records: bool,
    /// Phase of the process, which tells whether it is draining.
    pub phase: Phase,
}
