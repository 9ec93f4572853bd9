//! Errors of the experiment tool.

/// Result of an experiment.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure that the user can mend.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The command line cannot be read.
    #[error("{0}")]
    Arguments(#[from] xflags::Error),
    /// No experiment has this name.
    #[error("no experiment is named '{0}': try {names}", names = crate::options::NAMES)]
    Unknown(String),
    /// The output cannot be written.
    #[error("the output cannot be written: {0}")]
    Output(#[from] std::io::Error),
    /// The result cannot be written as JSON.
    #[error("the result cannot be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A record of the experiment cannot be read.
    #[error("the experiment's record cannot be read: {0}")]
    Record(String),
    /// A name or a snapshot of the experiment is wrong.
    #[error("{0}")]
    Core(#[from] skylark_core::error::Error),
    /// A message cannot be written in the compact form.
    #[error("a message cannot be written: {0}")]
    Compact(#[from] bincode::Error),
}
