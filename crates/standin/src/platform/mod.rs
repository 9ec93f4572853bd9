//! Stand-in for the platform: a transactional table, an object store and a host list.

mod fault;
mod routes;
mod store;

pub use routes::serve;
