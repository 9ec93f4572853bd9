//! Choice of a target and waiting for one, over what this host saw of the targets.

mod ask;
mod line;
mod lines;
mod seat;

pub use ask::{Ask, Shared as Balance};
pub use seat::Seat;
