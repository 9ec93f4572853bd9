//! The operator's command line against a platform in this process.

mod common;
mod read;
mod write;
