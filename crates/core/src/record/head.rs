//! Rows that state which version of the records is newest.

use crate::unit;

/// The row that tells the newest version in one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// The newest accepted version.
    pub version: unit::Version,
    /// Unique id of the write that made it, to read back after a lost answer.
    pub write: String,
}

/// The row that holds what one version changed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// The version that the change made.
    pub version: unit::Version,
    /// Unique id of the write.
    pub write: String,
    /// Records that were put.
    pub put: Vec<super::Document>,
    /// Identities of the records that were removed.
    pub removed: Vec<String>,
}
