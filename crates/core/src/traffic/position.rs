//! A position in the history of the store, which orders changes across returns to an older copy.

use std::fmt;

/// Bits of the version in the number that hosts exchange.
const VERSION_BITS: u32 = 48;

/// A version of the store within one of its epochs.
///
/// The store counts its versions up, except when it returns from an older copy: then versions go
/// back and are given out again with other contents. Each return begins a new epoch, so positions
/// are ordered by the epoch first.
///
/// Hosts exchange a position as one number, the epoch above 48 bits of the version. In the first
/// epoch, 0, that is the bare version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Position(u64);

impl Position {
    /// Position before all others, of a host that has read nothing yet.
    pub const ZERO: Self = Self(0);
    /// Position after all others.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates the position of a version; numbers that are too large are limited.
    #[must_use]
    pub fn new(epoch: u64, version: u64) -> Self {
        let max_version = u64::MAX >> (u64::BITS - VERSION_BITS);
        let max_epoch = u64::MAX >> VERSION_BITS;
        Self(epoch.min(max_epoch) << VERSION_BITS | version.min(max_version))
    }

    /// Returns the position that another host sent as a number.
    #[must_use]
    pub const fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number that is sent to other hosts.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }

    /// Returns how often the store had returned from an older copy.
    #[must_use]
    pub const fn epoch(self) -> u64 {
        self.0 >> VERSION_BITS
    }

    /// Returns the store's version within the epoch.
    #[must_use]
    pub const fn version(self) -> u64 {
        self.0 & (u64::MAX >> (u64::BITS - VERSION_BITS))
    }

    /// Returns whether the position is before all others.
    #[must_use]
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.epoch() {
            0 => write!(f, "{}", self.version()),
            epoch => write!(f, "{epoch}/{}", self.version()),
        }
    }
}

impl From<u64> for Position {
    /// Returns the position of a version in the first epoch.
    fn from(version: u64) -> Self {
        Self::new(0, version)
    }
}
