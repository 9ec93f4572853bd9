//! Leases in the table: one holder at a time, also while the store is down.

mod bars;
mod seat;
mod tenure;

pub use bars::Bars;
pub use seat::{Action, Row, Seat, Seen, Terms};
pub use tenure::Tenure;
