//! At-most-once execution of requests that are not idempotent, by their idempotency key.
//!
//! The host that receives a request forwards it to the home that its key names, or claims a key
//! that names no home in the shared table. The home runs the request in a separate task, so
//! that it continues if the caller or the forwarding host disconnects.

mod claim;
mod copy;
mod message;
mod peers;
mod receive;
mod resolve;
mod run;
mod serve;
mod shared_ledger;

pub use copy::{copy_outcomes, finish_copy};
pub use message::fingerprint;
pub use peers::{Peers, broadcast_crash};
pub use receive::{attempt, receive};
pub use resolve::CopyCache;
pub use serve::serve;
pub use shared_ledger::SharedLedger;
