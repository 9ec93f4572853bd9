//! Errors that end a stand-in.

use std::io;

/// Result of running a stand-in.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure that the user can correct.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// Command line has an unknown flag or an invalid value.
    #[error("{0}")]
    Arguments(#[from] xflags::Error),
    /// Argument for a target is malformed.
    #[error(
        "'{0}' is not a valid target: give NAME=ADDRESS/SLOTS, such as order-desk-1=127.0.0.1:9000/3"
    )]
    Target(String),
    /// Address cannot be bound, for instance because it is in use.
    #[error("cannot listen on {address}: {cause}; give a free loopback address")]
    Bind {
        /// Address to listen on.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// Runtime cannot start, or a connection cannot be accepted.
    #[error("cannot start the runtime or accept a connection: {0}")]
    Start(#[from] io::Error),
}
