//! Conditional write of records (compare-and-swap on the version) and its outcome.

use crate::record;
use crate::unit;

/// Outcome of a conditional write, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and created this version.
    Applied(unit::Version),
    /// Another write created the version, so this one can never take effect.
    Conflict,
    /// The write may still take effect; only the same commit may be retried.
    Unknown,
}

/// A write that creates the version after `base`.
///
/// Its commit is conditional on `base` being the newest version, so sending the
/// same commit again takes effect at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Unique id of the write.
    pub id: String,
    /// The version that the write is based on.
    pub base: unit::Version,
}

impl Write {
    /// Creates a write that is based on a version.
    #[must_use]
    pub fn new(id: &str, base: unit::Version) -> Self {
        Self {
            id: id.to_owned(),
            base,
        }
    }

    /// Returns the version that the write creates if it takes effect.
    #[must_use]
    pub const fn version(&self) -> unit::Version {
        self.base.next()
    }

    /// Returns the outcome, given the stored change of the version that the write would create.
    #[must_use]
    pub fn outcome(&self, change: Option<&record::Change>) -> WriteOutcome {
        match change {
            Some(change) if change.write == self.id => WriteOutcome::Applied(self.version()),
            Some(_other) => WriteOutcome::Conflict,
            None => WriteOutcome::Unknown,
        }
    }
}
