//! Errors of the stand-ins.

use std::io;

/// Result of running a stand-in.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure that the user can mend.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The command line cannot be read.
    #[error("{0}")]
    Arguments(#[from] xflags::Error),
    /// A target's description cannot be read.
    #[error("'{0}' is no target: write NAME=ADDRESS/SLOTS, such as order-desk-1=127.0.0.1:9000/3")]
    Target(String),
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {cause}; give a loopback address that is free")]
    Bind {
        /// The address.
        address: std::net::SocketAddr,
        /// Why it cannot be bound.
        cause: io::Error,
    },
    /// The stand-in cannot start.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
}
