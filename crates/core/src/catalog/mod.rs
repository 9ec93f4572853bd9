//! The records in force, indexed for decisions.

mod build;
mod check;
mod view;

pub use check::flaws;
pub use view::{Catalog, Place};
