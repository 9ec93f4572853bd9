//! Records of decisions, and running a decision again from its record.

mod digest;
mod entry;
mod replay;
mod sent;
mod step;
mod verdict;

pub use digest::Digest;
pub use entry::Decision;
pub use replay::{Difference, Replay};
pub use sent::Sent;
pub use step::Step;
pub use verdict::Verdict;
