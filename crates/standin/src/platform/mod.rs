//! Stand-in for the platform: a transactional table, an object store, a list of hosts.

mod fault;
mod routes;
mod store;

pub use routes::serve;
