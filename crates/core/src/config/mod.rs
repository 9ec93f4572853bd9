//! Versions of the records on one host: what is in force and how fresh it is.

mod proof;
mod state;
mod write;

pub use proof::{DRIFT_PPM, Proof, lengthen, shorten};
pub use state::{KEPT_CHANGES, State, Step};
pub use write::{Fate, Write};
