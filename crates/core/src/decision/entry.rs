//! Record of one decision, complete enough to replay it.

use crate::name;
use crate::steer;
use crate::timestamp;
use crate::unit;

use super::digest;
use super::step;
use super::verdict;

/// Record of the decision on one request, with all inputs for a replay.
///
/// A field that a later schema adds is optional and is not serialized when
/// absent, so that the digests of older records stay valid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Decision {
    /// Schema version of the record.
    pub schema: u32,
    /// Id of the request.
    pub id: name::Request,
    /// Wall-clock time at which the request arrived.
    pub at: timestamp::Timestamp,
    /// Entry host that made the decision.
    pub host: name::Host,
    /// Incarnation of the entry process that made the decision.
    pub incarnation: name::Incarnation,
    /// Version of the configuration records in force.
    pub version: unit::Version,
    /// Version of the steering plan in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<u64>,
    /// Service of the request's route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<name::Service>,
    /// Client account of the request's key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<name::Account>,
    /// Seed of the random draws.
    pub seed: steer::Seed,
    /// Time limit of the caller, in microseconds; `None` for batch requests.
    #[serde(
        rename = "deadline_us",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline: Option<u64>,
    /// Steps of the decision, in order.
    pub steps: Vec<step::Step>,
    /// Result that the caller received.
    pub verdict: verdict::Verdict,
    /// Time from the arrival to the end of the response, in microseconds.
    #[serde(rename = "latency_us")]
    pub latency: u64,
    /// Digest of all other fields.
    pub digest: digest::Digest,
}

impl Decision {
    /// Newest schema version, which this build writes.
    pub const SCHEMA: u32 = 1;

    /// Returns the record with its digest set, which any later change makes invalid.
    #[must_use]
    pub fn with_digest(mut self) -> Self {
        self.digest = digest::Digest::NONE;
        self.digest = self.hash();
        self
    }

    /// Computes the digest over all fields except the digest itself.
    #[must_use]
    pub fn compute_digest(&self) -> digest::Digest {
        let without_digest = Self {
            digest: digest::Digest::NONE,
            ..self.clone()
        };
        without_digest.hash()
    }

    /// Hashes the serialized record at once, as BLAKE3 is slow on many small writes.
    fn hash(&self) -> digest::Digest {
        let json = serde_json::to_vec(self);
        debug_assert!(json.is_ok(), "a decision can always be serialized");
        digest::Digest::new(blake3::hash(&json.unwrap_or_default()))
    }

    /// Returns the number of attempts that were sent to targets.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.steps
            .iter()
            .filter(|step| matches!(step, step::Step::Send { .. }))
            .count()
    }
}
