//! Stand-ins for targets, which count each request they start and support fault injection.

mod fault;
mod serve;
mod state;

pub use serve::serve;
