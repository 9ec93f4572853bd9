//! Configuration version.

use std::fmt;

/// A configuration version, incremented by one with each committed change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// The version before the first committed change.
    pub const NONE: Self = Self(0);

    /// Creates the version with the given number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the version number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the version of the next change.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
