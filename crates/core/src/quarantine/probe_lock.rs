//! Lock row in the table that lets one host at a time probe a suspect fingerprint.

use std::time;

use crate::idempotency;
use crate::timestamp;

/// Value of the lock row of a suspect fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ProbeLock {
    /// Unique id of the write, which identifies it when its response was lost.
    #[serde(rename = "write")]
    pub write_id: String,
    /// Time at which the lock was acquired.
    #[serde(rename = "taken")]
    pub acquired: timestamp::Timestamp,
}

impl ProbeLock {
    /// Returns the key of a fingerprint's row in the table.
    #[must_use]
    pub fn key(fingerprint: idempotency::Fingerprint) -> String {
        format!("quarantine/{}", fingerprint.to_hex())
    }

    /// Returns whether the lock still keeps other hosts from probing.
    ///
    /// The row is removed when the target answers. A row that remains belongs to
    /// a probe that crashed its target or its host, so it counts for the window.
    #[must_use]
    pub fn is_held(&self, now: timestamp::Timestamp, window: time::Duration) -> bool {
        let age = now.as_millis().saturating_sub(self.acquired.as_millis());
        u128::from(age) < window.as_millis()
    }
}
