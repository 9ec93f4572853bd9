//! What entry processes say to each other about single requests.

use skylark_core::idempotency;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::quarantine;
use skylark_core::secret;

/// The service that an entry process offers to those of other hosts.
#[tarpc::service]
pub trait Home {
    /// Runs a request under a key that this process alone may start, or tells its outcome.
    async fn begin(call: Request) -> Reply;

    /// Takes in the news that a target died under a request.
    async fn hear(death: quarantine::Crash);
}

/// A request on its way to its home, without its caller's key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Unique id of the request.
    pub id: String,
    /// Idempotency key.
    pub key: idempotency::Key,
    /// Client account that the receiver found, none on a route open to all.
    pub account: Option<name::Account>,
    /// Digest of the caller's key, which the home checks again before it starts the request.
    pub credential: Option<secret::Digest>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Header fields that a target may see.
    pub fields: Vec<idempotency::Field>,
    /// Body.
    pub body: Vec<u8>,
    /// Time that the caller still waits, in microseconds.
    pub remaining_micros: u64,
}

/// What a home says of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Reply {
    /// The target's whole answer.
    Answer(idempotency::Response),
    /// The request has no answer.
    Refusal {
        /// Why.
        kind: kind::ErrorKind,
        /// Whether the request may have run.
        outcome: kind::Outcome,
        /// When trying again can help, in microseconds.
        retry_after_micros: Option<u64>,
    },
}
