//! Record of a client account.

use crate::name;
use crate::unit;

/// A client account and how much it may send over all entry hosts together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the client account.
    pub name: name::Account,
    /// Sustained requests a second over all entry hosts.
    pub rate: unit::Rate,
    /// Requests above the rate that may come at once, over all entry hosts.
    pub burst: u64,
    /// How requests are scheduled; schema 1 has no such field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<super::Class>,
}

impl Account {
    /// Returns how requests are scheduled, interactive where the record is silent.
    #[must_use]
    pub fn class(&self) -> super::Class {
        self.class.unwrap_or_default()
    }
}
