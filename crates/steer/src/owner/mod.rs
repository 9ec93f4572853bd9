//! Ownership of the budgets by the one control process that holds their lease (leader lease).

mod elected_owner;
mod task;

pub use elected_owner::ElectedOwner;
pub use task::run;
