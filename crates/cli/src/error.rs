//! Errors of the command line, each with its exit code.

use skylark_core::error;
use skylark_core::unit;
use skylark_wire::platform;

use super::files;

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure that the operator can mend.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// What was compared differs.
    #[error("{0}")]
    Differs(String),
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
    #[error("{} faults, nothing was written", .faults.len())]
    Records {
        /// Every fault, each with its place.
        faults: Vec<files::Fault>,
    },
    /// A name, quantity or record is refused; nothing was written.
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
        version: unit::Version,
        /// Why it is not known.
        reason: String,
    },
    /// Nothing has the name that was asked for.
    #[error("{0}")]
    Absent(String),
    /// A change is written and not accepted yet.
    #[error(
        "version {0} is written and not yet accepted: too few availability zones are known \
         to have it in force (look with `skylark status`)"
    )]
    Unaccepted(unit::Version),
    /// A change is accepted and not in force everywhere yet.
    #[error("version {0} is accepted and not yet in force everywhere (look with `skylark status`)")]
    Pending(unit::Version),
    /// The output cannot be written.
    #[error("the output cannot be written: {0}")]
    Output(#[from] std::io::Error),
    /// A value cannot be written as JSON.
    #[error("the output cannot be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A value cannot be written as YAML.
    #[error("the output cannot be written as YAML: {0}")]
    Yaml(#[from] serde_yaml_ng::Error),
    /// A plot cannot be drawn.
    #[error("the plot cannot be drawn: {0}")]
    Plot(String),
    /// The system has no randomness for a secret.
    #[error("no secret can be drawn: {0}")]
    Random(String),
}

impl Error {
    /// Creates the error of a command line that cannot be understood.
    #[must_use]
    pub fn usage(reason: &str, suggestion: Option<&str>) -> Self {
        let hint = suggestion.map(|name| format!(": did you mean '{name}'?"));
        let hint = hint.unwrap_or_default();
        Self::Usage(format!("{reason}{hint} (see `skylark --help`)"))
    }

    /// Returns the faults of refused records.
    #[must_use]
    pub fn faults(&self) -> &[files::Fault] {
        match self {
            Self::Records { faults } => faults,
            _ => &[],
        }
    }

    /// Returns the exit code of the process that fails with this error.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Differs(_) => 1,
            Self::Usage(_) => 2,
            Self::File { .. } | Self::Records { .. } | Self::Text(_) => 3,
            Self::Conflict => 4,
            Self::Platform(_) => 5,
            Self::Unknown { .. } => 6,
            Self::Absent(_) => 7,
            Self::Unaccepted(_) | Self::Pending(_) => 8,
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
