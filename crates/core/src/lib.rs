//! Pure decisions of skylarkmount: no input or output, no clock, no tasks.
//!
//! Each function that decides takes `now` and borrowed views, and returns a
//! value that can be compared, so that any decision can be run again.

pub mod block;
pub mod budget;
pub mod burn;
pub mod catalog;
pub mod config;
pub mod decision;
pub mod error;
pub mod idempotency;
pub mod instant;
pub mod kind;
pub mod lease;
pub mod member;
pub mod name;
pub mod quarantine;
pub mod record;
pub mod secret;
pub mod steer;
pub mod suggest;
pub mod timestamp;
pub mod traffic;
pub mod unit;
