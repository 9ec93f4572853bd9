//! Errors of the experiment tool.

/// Result of an experiment.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure of an experiment or of its command line.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The command line cannot be parsed.
    #[error("{0}")]
    Arguments(#[from] xflags::Error),
    /// No experiment has this name.
    #[error("unknown experiment '{0}': use {names}", names = crate::options::EXPERIMENTS)]
    UnknownExperiment(String),
    /// The output cannot be written.
    #[error("the output cannot be written: {0}")]
    Output(#[from] std::io::Error),
    /// The result cannot be written as JSON.
    #[error("the result cannot be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A generated record cannot be parsed.
    #[error("a generated record cannot be parsed: {0}")]
    Record(String),
    /// A generated name, catalog or snapshot is invalid.
    #[error("{0}")]
    Core(#[from] skylark_core::error::Error),
    /// A message cannot be encoded with bincode.
    #[error("a message cannot be written with bincode: {0}")]
    Compact(#[from] bincode::Error),
}
