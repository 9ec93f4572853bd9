//! Leader leases in the shared table, with quorum support while the table is down.
//!
//! At most one process at a time holds a lease.

mod elector;
mod fences;
mod term;

pub use elector::{Action, Elector, Row, Timing, Versioned};
pub use fences::Fences;
pub use term::Term;
