//! Diagnostic: an error in a file of records, with its line and field.

use std::fmt;

/// An error in a file of records, with its line and field.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize)]
pub struct Diagnostic {
    /// Line in the file, counted from 1.
    pub line: usize,
    /// Path of the field, such as `account.rate`.
    pub field: String,
    /// What is wrong and which values are allowed.
    pub reason: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.field, self.reason)
    }
}
