//! API key record.

use crate::name;
use crate::secret;

/// An API key of a client account, known only by its digest.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of the key, for operators.
    pub name: String,
    /// Client account that requests with this key belong to.
    pub account: name::Account,
    /// Digest of the key; the key itself is not stored.
    pub digest: secret::Digest,
    /// Whether the key is accepted.
    #[serde(default)]
    pub state: State,
}

/// Whether an API key is accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The key is accepted.
    #[default]
    Valid,
    /// The key was permanently revoked.
    Withdrawn,
}
