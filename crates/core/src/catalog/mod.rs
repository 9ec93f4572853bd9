//! The records in force, indexed for decisions.

mod build;
mod check;
mod index;

pub use check::violations;
pub use index::{Catalog, RouteMatch};
