//! Choice of a target and waiting for one, over what this host saw of the targets.

mod balancer;
mod service_balancer;
mod services;
mod slot_guard;

pub use balancer::{Balancer, Request};
pub use slot_guard::SlotGuard;
