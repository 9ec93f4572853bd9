//! RPC between entry processes about single requests and crashed targets.
//!
//! The home of a request is the entry process that alone may start it under its
//! idempotency key, and that keeps its outcome for repeated sends.

use skylark_core::idempotency;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::quarantine;
use skylark_core::secret;

/// RPC service that an entry process offers to the entry processes of other hosts.
#[tarpc::service]
pub trait Home {
    /// Runs a request whose home is this process, or returns the outcome of an earlier attempt.
    async fn begin(call: Request) -> Reply;

    /// Records that a target crashed while it ran a request.
    async fn hear(death: quarantine::Crash);
}

/// A request forwarded to its home, without the caller's credential.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Unique id of the request.
    pub id: String,
    /// Idempotency key.
    pub key: idempotency::Key,
    /// Client account authenticated by the forwarding process, absent on a route open to all.
    pub account: Option<name::Account>,
    /// Digest of the caller's credential, which the home checks again before it starts the request.
    pub credential: Option<secret::Digest>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Header fields that may be forwarded to a target.
    pub fields: Vec<idempotency::Field>,
    /// Body.
    pub body: Vec<u8>,
    /// Remaining time until the caller's timeout, in microseconds.
    pub remaining_micros: u64,
}

/// The home's reply to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Reply {
    /// The target's complete response.
    Answer(idempotency::Response),
    /// The request was rejected or has no response.
    Refusal {
        /// Reason of the refusal.
        kind: kind::ErrorKind,
        /// Whether the request may have run.
        outcome: kind::Outcome,
        /// Delay after which a retry may succeed, in microseconds.
        retry_after_micros: Option<u64>,
    },
}
