//! Client of the platform's transactional table, object store and list of hosts.

mod api;
mod client;
mod row;

pub use api::{Error, Platform, Result};
pub use client::Client;
pub use row::{Commit, Condition, HostEntry, HostState, Row, Write};
