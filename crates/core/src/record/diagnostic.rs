//! A fault in a file of records.

use std::fmt;

/// A fault in a file of records, with its place.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize)]
pub struct Diagnostic {
    /// Line of the file, from 1.
    pub line: usize,
    /// Path of the field, such as `account.rate`.
    pub field: String,
    /// What is wrong and what is allowed.
    pub reason: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.field, self.reason)
    }
}
