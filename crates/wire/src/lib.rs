//! What the processes of skylarkmount say to each other and to the platform.

pub mod control;
pub mod grant;
pub mod header;
pub mod home;
pub mod http;
pub mod peer;
pub mod platform;
pub mod problem;
pub mod rpc;
