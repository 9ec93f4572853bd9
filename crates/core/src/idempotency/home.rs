//! Home of a key: the entry process whose ledger decides on it.

use std::fmt;

use crate::name;

/// The home that a key names, and the time at which a look-up issued the key.
///
/// The issue time only has to be the same on each repeated request. The home starts
/// a key if its own ledger still covers the issue time, whichever clock it is from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Home {
    /// Entry process whose ledger decides.
    pub incarnation: name::Incarnation,
    /// Issue time, in seconds since the Unix epoch.
    pub issued: u64,
}

impl Home {
    /// Creates the home part of a key issued at `issued`, in seconds since the Unix epoch.
    #[must_use]
    pub fn new(incarnation: &name::Incarnation, issued: u64) -> Self {
        Self {
            incarnation: incarnation.clone(),
            issued,
        }
    }

    /// Parses the home part of a key, such as `kol-ghat-1-4f2a.t1765000000`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (incarnation, issued) = text.rsplit_once(".t")?;
        let incarnation = name::Incarnation::new(incarnation).ok()?;
        let is_decimal = !issued.is_empty() && issued.bytes().all(|b| b.is_ascii_digit());
        let issued = is_decimal.then(|| issued.parse().ok())??;
        Some(Self {
            incarnation,
            issued,
        })
    }

    /// Returns the number of the ledger segment that contains the key.
    #[must_use]
    pub fn segment(&self) -> u64 {
        self.issued / super::SEGMENT_SECONDS
    }
}

impl fmt::Display for Home {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.t{}", self.incarnation, self.issued)
    }
}
