//! The platform's transactional table, object store and list of hosts.

mod client;
mod edge;
mod row;

pub use client::Client;
pub use edge::{Error, Platform, Result};
pub use row::{Commit, Condition, HostEntry, HostState, Row, Write};
