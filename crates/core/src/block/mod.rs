//! Blocks of clients: which group of clients an address belongs to.
//!
//! Steering moves groups between sites, so a change of the plan touches the
//! small table of groups and never the millions of blocks.

mod group;
mod plan;
mod prefix;
mod snapshot;
mod table;

pub use group::Group;
pub use plan::{Plan, Site};
pub use prefix::Prefix;
pub use snapshot::{decode, encode};
pub use table::Table;

/// Result of reading blocks.
pub type Result<T> = std::result::Result<T, crate::error::Error>;
