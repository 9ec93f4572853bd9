//! Network address of a process.

/// An IP address and a TCP port.
pub type Address = std::net::SocketAddr;
