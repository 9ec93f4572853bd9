//! Decision records, and their deterministic replay.

mod digest;
mod entry;
mod replay;
mod send_result;
mod step;
mod verdict;

pub use digest::Digest;
pub use entry::Decision;
pub use replay::{Difference, Replay};
pub use send_result::SendResult;
pub use step::Step;
pub use verdict::Verdict;
