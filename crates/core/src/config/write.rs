//! One conditional write of records, followed until its fate is known.

use crate::record;
use crate::unit;

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write made this version.
    Applied(unit::Version),
    /// Another write made the version; this one can never take effect.
    Conflict,
    /// The write may still take effect; only the same commit may be sent again.
    Unknown,
}

/// A write that raises the version by one.
///
/// Its commit is conditional on the version before it, so sending the same
/// commit twice takes effect at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Unique id of the write.
    pub id: String,
    /// The version that the write was formed against.
    pub base: unit::Version,
}

impl Write {
    /// Creates a write against a version.
    #[must_use]
    pub fn new(id: &str, base: unit::Version) -> Self {
        Self {
            id: id.to_owned(),
            base,
        }
    }

    /// Returns the version that the write makes if it takes effect.
    #[must_use]
    pub const fn version(&self) -> unit::Version {
        self.base.next()
    }

    /// Decides the fate from the row of the version that the write would make.
    #[must_use]
    pub fn outcome(&self, change: Option<&record::Change>) -> WriteOutcome {
        match change {
            Some(change) if change.write == self.id => WriteOutcome::Applied(self.version()),
            Some(_other) => WriteOutcome::Conflict,
            None => WriteOutcome::Unknown,
        }
    }
}
