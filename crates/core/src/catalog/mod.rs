//! The records in force, indexed for decisions.

mod build;
mod check;
mod view;

pub use check::violations;
pub use view::{Catalog, Place};
