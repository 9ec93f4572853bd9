//! This host's part of the budgets that all entry hosts share.

mod ask;
mod claim;
mod hold;

pub use ask::run as ask;
pub use claim::{leave, run as claim};
pub use hold::Purse;
