//! Choice of a target, admission under overload, and retries.

mod admission;
mod candidate;
mod choice;
mod draw;
mod shifting;
mod tier;

pub use admission::{Admission, Ruling};
pub use candidate::Candidate;
pub use choice::{Choice, Inputs, MAX_TIERS};
pub use draw::{Positions, Seed};
pub use shifting::Shifting;
pub use tier::{MAX_DRAWN, Nearness, Tier};

/// Basis points of the whole.
pub const WHOLE: u32 = 10_000;
