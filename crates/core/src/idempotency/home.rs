//! The home that a key names.

use std::fmt;

use crate::name;

/// The home that a key names, and when a look-up gave it out.
///
/// The issue time only has to be the same on each resend: the home starts a key
/// whose issue time its own ledger still remembers, whoever's clock gave it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Home {
    /// The life of an entry process whose ledger decides.
    pub incarnation: name::Incarnation,
    /// Time of issue, in seconds since the Unix epoch.
    pub issued: u64,
}

impl Home {
    /// Creates the home part of keys issued at a time.
    #[must_use]
    pub fn new(incarnation: &name::Incarnation, issued: u64) -> Self {
        Self {
            incarnation: incarnation.clone(),
            issued,
        }
    }

    /// Reads the home part of a key, such as `kol-ghat-1-4f2a.t1765000000`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (incarnation, issued) = text.rsplit_once(".t")?;
        let incarnation = name::Incarnation::new(incarnation).ok()?;
        let is_plain = !issued.is_empty() && issued.bytes().all(|b| b.is_ascii_digit());
        let issued = is_plain.then(|| issued.parse().ok())??;
        Some(Self {
            incarnation,
            issued,
        })
    }

    /// Returns the generation in which the ledger keeps the key.
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
