//! Keys of budgets: the traffic that a budget limits.

use crate::name;

/// The traffic that a budget limits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Key {
    /// Requests of a client account.
    Account(name::Account),
    /// Bytes over a link in one direction.
    Link {
        /// Sending region.
        from: name::Region,
        /// Receiving region.
        to: name::Region,
    },
    /// Requests that a traffic shift moves, by the name of the shift.
    Shift(String),
    /// Requests that a region accepts from other regions.
    Region(name::Region),
}

impl Key {
    /// Returns the id of the budget in messages, a hash that is the same on all hosts.
    #[must_use]
    pub fn id(&self) -> u64 {
        let text = match self {
            Self::Account(account) => format!("account/{account}"),
            Self::Link { from, to } => format!("link/{from}/{to}"),
            Self::Shift(name) => format!("shift/{name}"),
            Self::Region(region) => format!("region/{region}"),
        };
        let digest = blake3::hash(text.as_bytes());
        let mut head = [0; 8];
        head.copy_from_slice(&digest.as_bytes()[..8]);
        u64::from_le_bytes(head)
    }
}
