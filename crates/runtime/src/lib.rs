//! What every daemon of skylarkmount shares around its own tasks.

pub mod admin;
pub mod clock;
pub mod error;
pub mod identity;
pub mod logs;
pub mod metrics;
pub mod process;
pub mod settings;
mod sink;
pub mod stop;
pub mod supervisor;
