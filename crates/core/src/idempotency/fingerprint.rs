//! Fingerprints of requests.

use crate::name;

const CONTEXT: &str = "skylarkmount 2026 request fingerprint v1";
const BYTES: usize = 16;

/// Fingerprint of a request: client account, method, path with query, and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn new(account: Option<&name::Account>, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        let account = account.map_or("", name::Account::as_str);
        for part in [account.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// Returns the fingerprint as 32 hex digits.
    #[must_use]
    pub fn to_hex(&self) -> String {
        format!("{:032x}", u128::from_be_bytes(self.0))
    }
}
