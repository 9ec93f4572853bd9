//! Errors while a daemon starts or runs.

use std::io;
use std::path;

/// Result of starting or running a daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure that the operator can mend.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The settings file cannot be read.
    #[error("{path}: cannot be read: {cause}")]
    Read {
        /// The settings file.
        path: path::PathBuf,
        /// Why it cannot be read.
        cause: io::Error,
    },
    /// A field of the settings is wrong.
    #[error("{path}: line {line}: {field}: {reason}")]
    Setting {
        /// The settings file.
        path: path::PathBuf,
        /// Line of the fault, from 1.
        line: usize,
        /// Path of the field.
        field: String,
        /// What is wrong and what is allowed.
        reason: String,
    },
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {cause}; give an address of this host that is free")]
    Bind {
        /// The address.
        address: std::net::SocketAddr,
        /// Why it cannot be bound.
        cause: io::Error,
    },
    /// The command line names no settings file.
    #[error("name the settings file, such as examples/settings/entry.yaml")]
    NoSettings,
    /// The metrics socket cannot be opened.
    #[error("cannot send metrics: {0}")]
    Metrics(String),
    /// The runtime cannot start.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// The operating system gives no random bytes.
    #[error("the operating system gives no random bytes: {0}")]
    Random(String),
    /// The name of a host makes no incarnation.
    #[error("{0}")]
    Name(#[from] skylark_core::error::Error),
}
