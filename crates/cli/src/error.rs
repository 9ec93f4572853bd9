//! Errors of the command line, each with its exit code.

use skylark_core::error;
use skylark_wire::platform;

use super::files;

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure that the operator can mend.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The command line lacks something.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("{file} cannot be read: {source}")]
    File {
        /// Name of the file.
        file: String,
        /// Why it cannot be read.
        source: std::io::Error,
    },
    /// Records are refused; nothing was written.
    #[error("{}", list(.faults))]
    Records {
        /// Every fault, each with its place.
        faults: Vec<files::Fault>,
    },
    /// A name or quantity is refused; nothing was written.
    #[error("{0}")]
    Text(#[from] error::Error),
    /// Another operator's change came first; nothing was written.
    #[error("another change was accepted first: look at it with `skylark get` and try again")]
    Conflict,
    /// The platform did not answer a read, or refused; nothing was written.
    #[error("{0}; nothing was written")]
    Platform(platform::Error),
    /// It is not known whether a write took effect.
    #[error(
        "version {version} may or may not have been accepted ({reason}): \
         run the same command again when the platform answers"
    )]
    Unknown {
        /// The version that the write would have made.
        version: skylark_core::unit::Version,
        /// Why it is not known.
        reason: String,
    },
    /// Nothing has the name that was asked for.
    #[error("{0}")]
    Absent(String),
    /// The output cannot be written.
    #[error("the output cannot be written: {0}")]
    Output(#[from] std::io::Error),
    /// A value cannot be written as JSON.
    #[error("the output cannot be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The system has no randomness for a secret.
    #[error("no secret can be drawn: {0}")]
    Random(String),
}

impl Error {
    /// Returns the exit code of the process that fails with this error.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Output(_) | Self::Json(_) | Self::Random(_) => 1,
            Self::Usage(_) => 2,
            Self::File { .. } | Self::Records { .. } | Self::Text(_) => 3,
            Self::Conflict => 4,
            Self::Platform(_) => 5,
            Self::Unknown { .. } => 6,
            Self::Absent(_) => 7,
        }
    }
}

impl From<platform::Error> for Error {
    fn from(error: platform::Error) -> Self {
        match error {
            platform::Error::Conflict { .. } => Self::Conflict,
            other => Self::Platform(other),
        }
    }
}

/// Joins faults to lines; each but the first gets its own `error:`.
fn list(faults: &[files::Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\nerror: ")
}
