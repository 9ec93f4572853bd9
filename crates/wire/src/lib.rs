//! Protocols between the processes of skylarkmount, and between them and the platform.

pub mod control;
pub mod grant;
pub mod header;
pub mod home;
pub mod http;
pub mod peer;
pub mod platform;
pub mod problem;
pub mod rpc;
