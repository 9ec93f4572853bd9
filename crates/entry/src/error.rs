//! Errors while the entry process starts.

use skylark_runtime::error;

/// Result of starting the entry process.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure that the operator can mend.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The daemon's frame failed.
    #[error("{0}")]
    Frame(#[from] error::Error),
    /// The runtime cannot start.
    #[error("cannot start: {0}")]
    Start(#[from] std::io::Error),
}
