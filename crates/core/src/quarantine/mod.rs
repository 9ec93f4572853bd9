//! Requests that crash targets, held back fleet-wide after few deaths.

mod action;
mod breaker;
mod crash;
mod limits;
mod probe_lock;

pub use action::{Action, RunOutcome};
pub use breaker::Breaker;
pub use crash::Crash;
pub use limits::Limits;
pub use probe_lock::ProbeLock;
