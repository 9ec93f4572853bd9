//! A client account as the rules define it.

use crate::budget;
use crate::name;
use crate::secret;

/// A client account with its API keys, its rate limit and the regions that may serve it.
#[derive(Clone, Debug)]
pub struct Account {
    /// Name of the account.
    pub name: name::Account,
    /// Digests of the API keys that are currently valid.
    pub keys: Vec<secret::Digest>,
    /// Priority that overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Requests per second and burst for all hosts together; `None` means unlimited.
    pub limit: Option<budget::Limit>,
    /// Regions that may serve the account; empty means all.
    pub regions: Vec<name::Region>,
}
