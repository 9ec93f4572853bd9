//! What a host's control process tells the host's entry and look-up processes.

use skylark_core::instant;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;

/// The service that entry and look-up processes offer on their control address.
#[tarpc::service]
pub trait Control {
    /// Tells the present time of the receiver's monotonic clock.
    async fn clock() -> instant::Instant;

    /// Puts a view in force; an older version than the one in force is ignored.
    async fn install(view: View) -> Installed;
}

/// What is in force: records and the hosts that are known.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct View {
    /// Version of the records.
    pub version: unit::Version,
    /// The records, absent where the receiver holds this version.
    pub records: Option<Vec<record::Document>>,
    /// Instant on the receiver's clock at or before the last proof that nothing newer was accepted.
    ///
    /// Absent when there is no proof from the receiver's own life.
    pub fresh_at: Option<instant::Instant>,
    /// Entry hosts that are known to serve.
    pub hosts: Vec<Host>,
}

/// One life of an entry host, as other hosts see it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Host {
    /// Name of the entry host.
    pub host: name::Host,
    /// Name of this life of its entry process.
    pub incarnation: name::Incarnation,
    /// Availability zone of the entry host.
    pub zone: name::Zone,
    /// Addresses on which the host's processes listen.
    pub ports: Ports,
    /// Whether the host takes new work.
    pub phase: Phase,
}

/// Addresses of an entry host's processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ports {
    /// Where callers send requests.
    pub entry: record::Address,
    /// Where the entry process takes control messages.
    pub control: record::Address,
    /// Where other hosts' entry processes pass on requests whose home is here.
    pub home: record::Address,
    /// Where callers ask which entry host to use.
    pub lookup: record::Address,
    /// Where the control process hears its peers.
    pub steer: record::Address,
}

/// Phase of an entry host's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Waits for its part of the budgets and is not named yet.
    Starting,
    /// Takes new work.
    Serving,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// What a process has in force after an install.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Installed {
    /// Version in force.
    pub version: unit::Version,
    /// This life of the process, absent for a look-up process.
    pub incarnation: Option<name::Incarnation>,
    /// Whether the process needs the records of the version it was told of.
    #[serde(rename = "wants")]
    pub needs_records: bool,
    /// Whether the process is leaving.
    pub phase: Phase,
}
