//! Rows of the table, conditional transactions on them, and entries of the list of hosts.

use skylark_core::name;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version of the row, which rises with each write to it, from 1.
    pub version: u64,
    /// Content of the row.
    pub value: serde_json::Value,
}

/// A precondition of a transaction on the version of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have, 0 for a row that must not exist.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New content, absent to delete the row.
    pub value: Option<serde_json::Value>,
}

/// An atomic transaction, of which all writes take effect or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Commit {
    /// Conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Writes to apply if all conditions hold.
    pub writes: Vec<Write>,
}

/// An entry of the platform's list of hosts, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HostEntry {
    /// Name of the entry host or target.
    pub name: String,
    /// Availability zone of the host.
    pub zone: name::Zone,
    /// State that the platform reports.
    pub state: HostState,
}

/// State of a host as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is running.
    Live,
    /// The platform is about to remove the host.
    Leaving,
}
