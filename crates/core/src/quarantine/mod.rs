//! Fleet-wide quarantine of requests that crash targets.
//!
//! Each host runs a circuit breaker per request fingerprint. Crashes are
//! reported to all hosts, and a lock in the table limits retries of a suspect
//! fingerprint to one host at a time.

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
