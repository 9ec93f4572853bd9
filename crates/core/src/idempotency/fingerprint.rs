//! Fingerprints of requests, which detect that a key is reused for a different request.

use crate::name;

const DIGEST_CONTEXT: &str = "skylarkmount 2026 request fingerprint v1";
const DIGEST_BYTES: usize = 16;

/// The digest of a request's client account, method, path with query, and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; DIGEST_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint; each part is hashed with its length, so that parts cannot shift.
    #[must_use]
    pub fn new(account: Option<&name::Account>, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        let account = account.map_or("", name::Account::as_str);
        for part in [account.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// Returns the fingerprint as 32 hex digits.
    #[must_use]
    pub fn to_hex(&self) -> String {
        format!("{:032x}", u128::from_be_bytes(self.0))
    }
}
