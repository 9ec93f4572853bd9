//! Claims in the shared table, for keys that name no home.

use crate::name;

/// The content of a key's row in the shared table.
///
/// The first claim that is written decides which process may start the request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// Unique id of the write, by which a writer recognises its claim after a lost reply.
    pub write: String,
    /// Entry process that alone may start the request.
    pub holder: name::Incarnation,
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: super::Fingerprint,
}

/// The owner of the claim that a row contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// The caller wrote this claim, so its request may start.
    Own,
    /// An earlier request claimed the key; only the process named here knows its outcome.
    Other(name::Incarnation),
    /// The key was claimed for a different request.
    Reused,
}

impl Claim {
    /// Returns the table key of an idempotency key's row.
    #[must_use]
    pub fn row_key(key: &super::Key) -> String {
        format!("once/{}", key.id().to_hex())
    }

    /// Returns who owns the claim `found`, for the caller that tried to write this claim.
    #[must_use]
    pub fn ownership(&self, found: &Self) -> Ownership {
        if found.write == self.write {
            return Ownership::Own;
        }
        if found.fingerprint != self.fingerprint {
            return Ownership::Reused;
        }
        Ownership::Other(found.holder.clone())
    }
}
