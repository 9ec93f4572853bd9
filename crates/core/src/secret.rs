//! API keys of callers, which must never appear in a log, metric or record.

use std::fmt;

/// Length of a key's digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

const CONTEXT: &str = "skylarkmount 2026 caller key digest v1";

/// An API key as the caller presented it; its `Debug` output is redacted.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret from the text of a key.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Returns the BLAKE3 digest under which the key is recorded.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest(blake3::derive_key(CONTEXT, self.0.as_bytes()))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The BLAKE3 digest of an API key, compared in constant time.
#[derive(Clone, Copy, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; DIGEST_BYTES]);

impl PartialEq for Digest {
    fn eq(&self, other: &Self) -> bool {
        blake3::Hash::from_bytes(self.0) == blake3::Hash::from_bytes(other.0)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

impl TryFrom<String> for Digest {
    type Error = crate::error::Error;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let hash =
            blake3::Hash::from_hex(&text).map_err(|_error| crate::error::Error::Quantity {
                kind: "key digest",
                text: "the given text".to_owned(),
                example: "the 64 hex digits that `skylark key issue` prints",
            })?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        blake3::Hash::from_bytes(digest.0).to_hex().to_string()
    }
}
