//! Choice of a target, admission under overload, and retries.

mod admission;
mod allowance;
mod ask;
mod candidate;
mod choice;
mod decay;
mod drain;
mod draw;
mod end;
mod hysteresis;
mod known;
mod mean;
mod outlier;
mod place;
mod pool;
mod queue;
mod ramp;
mod retry;
mod shifting;
mod tier;

pub use admission::{Admission, Ruling};
pub use allowance::Allowance;
pub use ask::{Ask, Shifted};
pub use candidate::{Candidate, REPORT_HORIZON};
pub use choice::{Choice, Inputs, MAX_TIERS};
pub use decay::Decay;
pub use drain::{Drain, Listed};
pub use draw::{Positions, Seed};
pub use end::{End, Word};
pub use hysteresis::{Band, Hysteresis, Measure};
pub use known::Known;
pub use mean::Mean;
pub use outlier::Outlier;
pub use place::Place;
pub use pool::{Pool, Use};
pub use queue::{Entered, Entrant, Left, Queue, Speed};
pub use ramp::Ramp;
pub use retry::Retry;
pub use shifting::Shifting;
pub use tier::{MAX_DRAWN, Nearness, Pace, Tier};

/// Basis points of the whole.
pub const WHOLE: u32 = 10_000;
