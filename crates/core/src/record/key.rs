//! Record of a caller's key.

use crate::name;
use crate::secret;

/// A key of a client account, by its digest.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of the key, for operators.
    pub name: String,
    /// Client account for which requests with this key run.
    pub account: name::Account,
    /// Digest of the key.
    pub digest: secret::Digest,
    /// Whether the key may be used.
    #[serde(default)]
    pub state: State,
}

/// Whether a key may be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The key may be used.
    #[default]
    Valid,
    /// The key was withdrawn for good.
    Withdrawn,
}
