//! Requests that crash targets, held back fleet-wide after few deaths.

mod death;
mod limits;
mod pass;
mod probe;
mod ward;

pub use death::Death;
pub use limits::Limits;
pub use pass::{Ending, Pass};
pub use probe::Probe;
pub use ward::Ward;
