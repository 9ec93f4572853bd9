//! Address of a process.

/// An IP address and port.
pub type Address = std::net::SocketAddr;
