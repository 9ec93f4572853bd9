//! Client account record.

use crate::name;
use crate::unit;

/// A client account and its request limit across all entry hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the client account.
    pub name: name::Account,
    /// Sustained requests per second, across all entry hosts.
    pub rate: unit::Rate,
    /// Requests above the rate that may arrive at once, across all entry hosts.
    pub burst: u64,
    /// Scheduling class; absent in schema 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<super::Class>,
}

impl Account {
    /// Returns the scheduling class, by default interactive.
    #[must_use]
    pub fn class(&self) -> super::Class {
        self.class.unwrap_or_default()
    }
}
