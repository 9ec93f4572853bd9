//! Request rate.

use std::fmt;
use std::str;

use crate::error;

const MAX_PER_SECOND: u64 = 100_000_000;

/// A rate in whole requests per second, written like `200/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(u64);

impl Rate {
    /// Creates a rate from requests per second.
    #[must_use]
    pub const fn per_second(count: u64) -> Self {
        Self(count)
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl str::FromStr for Rate {
    type Err = error::Error;

    fn from_str(text: &str) -> super::Result<Self> {
        let invalid = || error::Error::Quantity {
            kind: "rate",
            text: text.to_owned(),
            example: "200/s",
        };
        let digits = text.strip_suffix("/s").ok_or_else(invalid)?;
        let count = digits
            .trim()
            .parse::<u64>()
            .ok()
            .filter(|c| *c <= MAX_PER_SECOND);
        count.map(Self).ok_or_else(invalid)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

super::textual!(Rate);
