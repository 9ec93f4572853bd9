//! Bandwidth of a link.

use std::fmt;
use std::str;

use crate::error;

/// A bandwidth in whole megabits per second, written like `300 Mbit/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Bandwidth(u64);

impl Bandwidth {
    /// Creates a bandwidth from megabits per second.
    #[must_use]
    pub const fn from_mbit(mbit: u64) -> Self {
        Self(mbit)
    }

    /// Returns the bandwidth in bytes per second.
    #[must_use]
    pub const fn bytes_per_second(self) -> u64 {
        self.0.saturating_mul(1_000_000) / 8
    }
}

impl str::FromStr for Bandwidth {
    type Err = error::Error;

    fn from_str(text: &str) -> super::Result<Self> {
        let invalid = || error::Error::Quantity {
            kind: "bandwidth",
            text: text.to_owned(),
            example: "300 Mbit/s",
        };
        let digits = text.strip_suffix("Mbit/s").ok_or_else(invalid)?;
        digits
            .trim()
            .parse::<u64>()
            .ok()
            .map(Self)
            .ok_or_else(invalid)
    }
}

impl fmt::Display for Bandwidth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} Mbit/s", self.0)
    }
}

super::textual!(Bandwidth);
