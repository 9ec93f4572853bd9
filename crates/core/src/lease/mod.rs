//! Leases in the table: one holder at a time, also while the store is down.

mod elector;
mod fences;
mod term;

pub use elector::{Action, Elector, Row, Timing, Versioned};
pub use fences::Fences;
pub use term::Term;
