//! Catalog of the records in force, indexed for routing and steering.

mod build;
mod check;
mod index;

pub use check::violations;
pub use index::{Catalog, RouteMatch};
