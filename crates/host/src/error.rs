//! Errors while the host process starts or runs.

/// Result of starting or running the host process.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure that the operator can mend.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The settings or the store's rows cannot be used.
    #[error("{0}")]
    Platform(#[from] skylark_platform::Error),
    /// The process cannot be started.
    #[error("{0}")]
    Runtime(#[from] skylark_runtime::error::Error),
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {cause}; give an address of this host that is free")]
    Bind {
        /// The address.
        address: std::net::SocketAddr,
        /// Why it cannot be bound.
        cause: std::io::Error,
    },
    /// The operating system refused something.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// What is told between hosts cannot be written.
    #[error("cannot write a message to other hosts: {0}")]
    Message(#[from] bincode::Error),
}
