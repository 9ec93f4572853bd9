//! Errors that keep a daemon from starting or running.

use std::io;
use std::path;

/// Result of starting or running a daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure reported to the operator when the daemon exits.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The settings file cannot be read.
    #[error("{path}: the settings file cannot be read: {cause}")]
    Read {
        /// The settings file.
        path: path::PathBuf,
        /// Why it cannot be read.
        cause: io::Error,
    },
    /// A field of the settings is invalid.
    #[error("{path}: line {line}: {field}: {reason}")]
    Setting {
        /// The settings file.
        path: path::PathBuf,
        /// Line of the field, from 1.
        line: usize,
        /// Path of the field within the document.
        field: String,
        /// What is wrong with it and what is allowed.
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
    /// The command line lacks the settings file.
    #[error("the settings file is missing; pass its path, such as examples/settings/entry.yaml")]
    NoSettings,
    /// The metrics socket cannot be opened.
    #[error("the metrics socket cannot be opened: {0}")]
    Metrics(String),
    /// The runtime, a socket, a thread or a signal listener cannot be set up.
    #[error("the daemon cannot start: {0}")]
    Start(#[from] io::Error),
    /// The operating system returned no random bytes.
    #[error("the operating system returned no random bytes: {0}")]
    Random(String),
    /// The host name yields no valid incarnation name.
    #[error("{0}")]
    Name(#[from] skylark_core::error::Error),
}
