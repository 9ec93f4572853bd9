//! Idempotency keys and their digests.

use std::sync;

use crate::error;

const DIGEST_CONTEXT: &str = "skylarkmount 2026 idempotency key v1";
const MAX_KEY_BYTES: usize = 255;
const ID_BYTES: usize = 16;

/// An idempotency key as the caller sent it.
///
/// A key of the form `HOME.tISSUED.UNIQUE` names its home. Any other text is a key
/// that the caller chose, which has no home.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key {
    text: sync::Arc<str>,
    home: Option<super::Home>,
}

/// The digest of a key, by which ledgers and the shared table index it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Id(u128);

impl Key {
    /// Parses a key.
    ///
    /// # Errors
    ///
    /// Fails if the text is empty, longer than 255 bytes, or contains anything but visible ASCII.
    pub fn new(text: &str) -> super::Result<Self> {
        let is_valid = text.len() <= MAX_KEY_BYTES && text.bytes().all(|b| b.is_ascii_graphic());
        if !is_valid || text.is_empty() {
            return Err(error::Error::Quantity {
                kind: "idempotency key",
                text: text.chars().take(MAX_KEY_BYTES).collect(),
                example: "the home of a look-up answer, a dot, and 32 random hex digits",
            });
        }
        let home = text
            .rsplit_once('.')
            .and_then(|(home, _unique)| super::Home::parse(home));
        Ok(Self {
            text: text.into(),
            home,
        })
    }

    /// Returns the key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns the home that the key names, absent for a key that the caller chose.
    #[must_use]
    pub fn home(&self) -> Option<&super::Home> {
        self.home.as_ref()
    }

    /// Returns the digest of the key.
    #[must_use]
    pub fn id(&self) -> Id {
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        hasher.update(self.text.as_bytes());
        let mut bytes = [0; ID_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Id(u128::from_be_bytes(bytes))
    }
}

impl Id {
    /// Returns the digest as 32 hex digits.
    #[must_use]
    pub fn to_hex(&self) -> String {
        format!("{:032x}", self.0)
    }
}

impl TryFrom<String> for Key {
    type Error = error::Error;

    fn try_from(text: String) -> super::Result<Self> {
        Self::new(&text)
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.text.as_ref().to_owned()
    }
}
