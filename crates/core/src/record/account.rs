//! Record of a client account.

use crate::name;
use crate::unit;

/// A client account and how much it may send over all entry hosts together.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the client account.
    pub name: name::Account,
    /// Sustained requests a second over all entry hosts.
    pub rate: unit::Rate,
    /// Requests above the rate that may come at once, over all entry hosts.
    pub burst: u64,
}
