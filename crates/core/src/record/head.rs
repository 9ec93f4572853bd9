//! Rows of the store that hold the newest version and the changes of each version.

use crate::unit;

/// The head row, which tells the newest version in a single read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// The newest committed version.
    pub version: unit::Version,
    /// Unique id of the write that created it, compared after a commit got no answer.
    pub write: String,
}

/// The row that holds the changes of one version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// The version that the change created.
    pub version: unit::Version,
    /// Unique id of the write.
    pub write: String,
    /// Records that were created or replaced.
    pub put: Vec<super::Document>,
    /// Identities of the records that were removed.
    pub removed: Vec<String>,
}
