//! Rows of the table and the transactions on them.

use skylark_core::name;

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Number that rises with each write to the row, from 1.
    pub version: u64,
    /// Content of the row.
    pub value: serde_json::Value,
}

/// What must hold for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have, 0 for a row that must not exist.
    pub version: u64,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New content, or nothing to remove the row.
    pub value: Option<serde_json::Value>,
}

/// A transaction: all writes or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Commit {
    /// Conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Writes, all of which take effect together.
    pub writes: Vec<Write>,
}

/// One line of the platform's list of hosts, which lags.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HostEntry {
    /// Name of the host, of an entry host or a target.
    pub name: String,
    /// Availability zone of the host.
    pub zone: name::Zone,
    /// What the platform says of the host.
    pub state: HostState,
}

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host runs.
    Live,
    /// The host is about to be taken away.
    Leaving,
}
