//! Configuration replication: the records in force on one host, and proofs of their freshness.

mod proof;
mod state;
mod write;

pub use proof::{MAX_DRIFT_PPM, Proof, lengthen_for_drift, shorten_for_drift};
pub use state::{Effect, MAX_KEPT_CHANGES, State};
pub use write::{Write, WriteOutcome};
