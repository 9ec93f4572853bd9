//! Client groups: maps an IPv4 address to its group, and a group to its sites.
//!
//! A steering change rewrites only the entry of a group in the plan, a small
//! table, and never the millions of address prefixes that map to groups.

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

/// Result of building or decoding address prefixes and their table.
pub type Result<T> = std::result::Result<T, crate::error::Error>;
