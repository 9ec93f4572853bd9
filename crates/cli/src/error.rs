//! Errors of the command line and their exit codes.

use skylark_core::error;
use skylark_core::unit;
use skylark_wire::platform;

use super::files;

/// Result of an operation that fails with [`enum@Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Failure of a command, as shown to the operator.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A comparison found differences.
    #[error("{0}")]
    Differs(String),
    /// An argument is missing or invalid.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read or written.
    #[error("{file} cannot be read: {source}")]
    File {
        /// Name of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Records are invalid; nothing was written.
    #[error("invalid records: {} errors found; nothing was written", .diagnostics.len())]
    Records {
        /// Errors of all records, with file and line.
        diagnostics: Vec<files::Diagnostic>,
    },
    /// A name, quantity or record is invalid; nothing was written.
    #[error("{0}")]
    Invalid(#[from] error::Error),
    /// Another operator's change was accepted first; nothing was written.
    #[error("another change was accepted first: review it with `skylark get` and try again")]
    Conflict,
    /// The platform did not answer a read or rejected a request; nothing was written.
    #[error("{0}; nothing was written")]
    Platform(platform::Error),
    /// The outcome of a write is unknown.
    #[error(
        "version {version} may or may not have been accepted ({reason}): \
         run the same command again when the platform answers"
    )]
    Indeterminate {
        /// Version that the write would have created.
        version: unit::Version,
        /// Why the outcome is unknown.
        reason: String,
    },
    /// No record has the requested name.
    #[error("{0}")]
    NotFound(String),
    /// A change is written but not yet accepted.
    #[error(
        "version {0} is written but not yet accepted: too few availability zones \
         confirm that it is in force (see `skylark status`)"
    )]
    NotAccepted(unit::Version),
    /// A change is accepted but not yet in force in every zone.
    #[error(
        "version {0} is accepted but not yet in force in every availability zone \
         (see `skylark status`)"
    )]
    Pending(unit::Version),
    /// The output cannot be written.
    #[error("the output cannot be written: {0}")]
    Output(#[from] std::io::Error),
    /// A value cannot be serialized as JSON.
    #[error("the output cannot be serialized as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A value cannot be serialized as YAML.
    #[error("the output cannot be serialized as YAML: {0}")]
    Yaml(#[from] serde_yaml_ng::Error),
    /// A plot cannot be drawn.
    #[error("the plot cannot be drawn: {0}")]
    Plot(String),
    /// The operating system returned no random bytes.
    #[error("the operating system returned no random bytes: {0}")]
    Random(String),
}

impl Error {
    /// Creates the error for arguments that cannot be parsed, with an optional suggestion.
    #[must_use]
    pub fn usage(reason: &str, suggestion: Option<&str>) -> Self {
        let hint = suggestion.map(|name| format!(": did you mean '{name}'?"));
        let hint = hint.unwrap_or_default();
        Self::Usage(format!("{reason}{hint} (see `skylark --help`)"))
    }

    /// Returns the diagnostics of invalid records, empty for other errors.
    #[must_use]
    pub fn diagnostics(&self) -> &[files::Diagnostic] {
        match self {
            Self::Records { diagnostics } => diagnostics,
            _ => &[],
        }
    }

    /// Returns the exit code of the process that fails with this error.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Differs(_) => 1,
            Self::Usage(_) => 2,
            Self::File { .. } | Self::Records { .. } | Self::Invalid(_) => 3,
            Self::Conflict => 4,
            Self::Platform(_) => 5,
            Self::Indeterminate { .. } => 6,
            Self::NotFound(_) => 7,
            Self::NotAccepted(_) | Self::Pending(_) => 8,
            Self::Output(_) | Self::Json(_) | Self::Yaml(_) | Self::Plot(_) | Self::Random(_) => 9,
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
