//! A client account as the rules describe it.

use crate::budget;
use crate::name;
use crate::secret;

/// A client account with its keys, its share and where it may be served.
#[derive(Clone, Debug)]
pub struct Account {
    /// The account's name.
    pub name: name::Account,
    /// Digests of the keys that are valid now.
    pub keys: Vec<secret::Digest>,
    /// Rank that takes precedence over the route's; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Requests a second and burst over all hosts together, none without a limit.
    pub share: Option<budget::Limit>,
    /// Regions that may serve the account, empty for all.
    pub regions: Vec<name::Region>,
}
