//! At most one start of each non-idempotent request.
//!
//! The receiver of a request passes it to the home that its key names, or
//! claims a key without a home in the table. The home runs it in a task of its
//! own, so that neither a caller nor another host that goes away stops it.

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
