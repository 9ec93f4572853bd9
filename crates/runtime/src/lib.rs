//! Runtime shared by the daemons: start and shutdown, supervision, settings, logs and metrics.

pub mod admin;
pub mod clock;
pub mod daemon;
pub mod error;
pub mod field;
pub mod identity;
pub mod logs;
pub mod metrics;
pub mod settings;
pub mod shutdown;
mod sink;
pub mod supervisor;
