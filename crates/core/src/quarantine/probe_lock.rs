//! The table's row that lets one host at a time try a suspect fingerprint.

use std::time;

use crate::idempotency;
use crate::timestamp;

/// The content of a suspect fingerprint's row in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ProbeLock {
    /// Unique id of the write, to read back after a lost answer.
    #[serde(rename = "write")]
    pub write_id: String,
    /// When the probe was taken.
    #[serde(rename = "taken")]
    pub acquired: timestamp::Timestamp,
}

impl ProbeLock {
    /// Returns the key of the row of a fingerprint.
    #[must_use]
    pub fn key(print: idempotency::Fingerprint) -> String {
        format!("quarantine/{}", print.to_hex())
    }

    /// Returns whether the row still keeps others from a probe.
    ///
    /// A probe whose target answered is removed; one that stays has killed its
    /// target or its host, so it holds for the whole window.
    #[must_use]
    pub fn is_held(&self, now: timestamp::Timestamp, window: time::Duration) -> bool {
        let age = now.as_millis().saturating_sub(self.acquired.as_millis());
        u128::from(age) < window.as_millis()
    }
}
