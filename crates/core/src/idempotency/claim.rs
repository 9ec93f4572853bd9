//! Claims in the table, for keys that name no home.

use crate::name;

/// The content of a key's row in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// Unique id of the write, to read back after a lost answer.
    pub write: String,
    /// The life of an entry process that alone may start the request.
    pub holder: name::Incarnation,
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: super::Fingerprint,
}

/// Whose claim a row holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// The claim that this call wrote: the request may start.
    Own,
    /// An earlier claim: its holder alone knows the outcome.
    Other(name::Incarnation),
    /// The key was claimed for another request.
    Reused,
}

impl Claim {
    /// Returns the key of the row of an idempotency key.
    #[must_use]
    pub fn row_key(key: &super::Key) -> String {
        format!("once/{}", key.id().to_hex())
    }

    /// Decides whose claim the row `found` is, for a call that tried to write this claim.
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
