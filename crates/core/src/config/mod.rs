//! Versions of the records on one host: what is in force and how fresh it is.

mod proof;
mod state;
mod write;

pub use proof::{MAX_DRIFT_PPM, Proof, lengthen_for_drift, shorten_for_drift};
pub use state::{Effect, MAX_KEPT_CHANGES, State};
pub use write::{Write, WriteOutcome};
