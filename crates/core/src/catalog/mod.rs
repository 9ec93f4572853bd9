//! The records in force, indexed for decisions.

mod build;
mod view;

pub use view::{Catalog, Place};
