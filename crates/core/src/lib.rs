//! Decision logic of skylarkmount as pure functions: no I/O, no clock, no tasks.
//!
//! A function that decides takes the time and the state it needs as arguments
//! and returns a comparable value, so any decision can be replayed and checked.

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
