//! Load balancing: chooses a target for each request, and queues requests while no slot is free.

mod balancer;
mod service_balancer;
mod services;
mod slot_guard;

pub use balancer::{Balancer, Request};
pub use slot_guard::SlotGuard;
