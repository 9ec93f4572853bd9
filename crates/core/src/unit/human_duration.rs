//! Duration in a form that people read and write.

use std::fmt;
use std::str;
use std::time;

use crate::error;

/// A duration, written like `1500ms` or `2s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct HumanDuration(time::Duration);

impl HumanDuration {
    /// Wraps a standard duration.
    #[must_use]
    pub const fn new(duration: time::Duration) -> Self {
        Self(duration)
    }

    /// Creates a duration from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(time::Duration::from_millis(millis))
    }

    /// Returns the standard duration.
    #[must_use]
    pub const fn get(self) -> time::Duration {
        self.0
    }
}

impl str::FromStr for HumanDuration {
    type Err = error::Error;

    fn from_str(text: &str) -> super::Result<Self> {
        humantime::parse_duration(text)
            .map(Self)
            .map_err(|_error| error::Error::Quantity {
                kind: "duration",
                text: text.to_owned(),
                example: "1500ms or 2s",
            })
    }
}

impl fmt::Display for HumanDuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", humantime::format_duration(self.0))
    }
}

super::textual!(HumanDuration);
