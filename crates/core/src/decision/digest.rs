//! BLAKE3 digest of a decision record.

use std::fmt;

/// BLAKE3 hash over all other fields of a decision record, written as 64 hex digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; blake3::OUT_LEN]);

impl Digest {
    /// Placeholder in a record whose digest is not computed yet.
    pub const NONE: Self = Self([0; blake3::OUT_LEN]);

    /// Creates a digest from a BLAKE3 hash.
    #[must_use]
    pub fn new(hash: blake3::Hash) -> Self {
        Self(*hash.as_bytes())
    }
}

impl TryFrom<String> for Digest {
    type Error = crate::error::Error;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let hash =
            blake3::Hash::from_hex(&text).map_err(|_error| crate::error::Error::Quantity {
                kind: "decision digest",
                text,
                example: "the 64 hex digits of a decision record",
            })?;
        Ok(Self::new(hash))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}
