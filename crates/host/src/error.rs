//! Errors of starting or running the host process.

/// Result of starting or running the host process.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure that the operator can correct.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The settings file or a row of the store cannot be used.
    #[error("{0}")]
    Platform(#[from] skylark_platform::Error),
    /// The runtime of the process cannot be started.
    #[error("{0}")]
    Runtime(#[from] skylark_runtime::error::Error),
    /// A listening address cannot be bound.
    #[error("cannot listen on {address}: {cause}; give an address of this host that is free")]
    Bind {
        /// Address from the settings file.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// An operation of the operating system failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A message or row for other hosts cannot be serialized.
    #[error("cannot serialize a message to other hosts: {0}")]
    Encode(#[from] bincode::Error),
}
