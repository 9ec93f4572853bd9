//! Stand-ins for targets, which count every start and can be told to fail.

mod fault;
mod serve;
mod state;

pub use serve::serve;
