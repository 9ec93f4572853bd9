//! The record of one decision.

use crate::name;
use crate::steer;
use crate::timestamp;
use crate::unit;

use super::digest;
use super::step;
use super::verdict;

/// Everything needed to run the decision on one request again.
///
/// A field that a later schema adds is optional and left out when absent, so
/// that the digest of an older record stays what it was.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Decision {
    /// Schema version of the record.
    pub schema: u32,
    /// Id of the request.
    pub id: name::Request,
    /// Wall-clock time of the request's arrival.
    pub at: timestamp::Timestamp,
    /// Entry host that decided.
    pub host: name::Host,
    /// Life of the entry process that decided.
    pub incarnation: name::Incarnation,
    /// Version of the records that were in force.
    pub version: unit::Version,
    /// Version of the steering plan that was in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<u64>,
    /// Service of the request's route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<name::Service>,
    /// Client account of the request's key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<name::Account>,
    /// Seed of the draws.
    pub seed: steer::Seed,
    /// Time that the caller waits, in microseconds, none for batch work.
    #[serde(
        rename = "deadline_us",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline: Option<u64>,
    /// The steps, in the order taken.
    pub steps: Vec<step::Step>,
    /// What the caller was told.
    pub verdict: verdict::Verdict,
    /// Time from arrival to the end of the answer, in microseconds.
    #[serde(rename = "latency_us")]
    pub latency: u64,
    /// Digest over all other fields.
    pub digest: digest::Digest,
}

impl Decision {
    /// The newest schema version, which this build writes.
    pub const SCHEMA: u32 = 1;

    /// Returns the record with its digest set; nothing may be changed afterwards.
    #[must_use]
    pub fn with_digest(mut self) -> Self {
        self.digest = digest::Digest::NONE;
        self.digest = self.hash();
        self
    }

    /// Computes the digest over all fields but the digest.
    #[must_use]
    pub fn compute_digest(&self) -> digest::Digest {
        let open = Self {
            digest: digest::Digest::NONE,
            ..self.clone()
        };
        open.hash()
    }

    /// Hashes the record whole, as it is written in one piece: the hash is slow on small pieces.
    fn hash(&self) -> digest::Digest {
        let written = serde_json::to_vec(self);
        debug_assert!(written.is_ok(), "a decision can always be written");
        digest::Digest::new(blake3::hash(&written.unwrap_or_default()))
    }

    /// Returns the number of exchanges with targets.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.steps
            .iter()
            .filter(|step| matches!(step, step::Step::Send { .. }))
            .count()
    }
}
