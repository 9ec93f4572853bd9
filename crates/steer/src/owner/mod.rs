//! Owning the budgets of the fleet while this process holds their lease.

mod post;
mod task;

pub use post::Post;
pub use task::run;
