//! Validated names of hosts, targets, services and the other subjects of records.

mod account;
mod host;
mod incarnation;
mod region;
mod request;
mod service;
mod target;
mod zone;

pub use account::Account;
pub use host::Host;
pub use incarnation::Incarnation;
pub use region::Region;
pub use request::Request;
pub use service::Service;
pub use target::Target;
pub use zone::Zone;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Result of validating a name.
pub type Result<T> = std::result::Result<T, crate::error::Error>;

/// Checks that a text is 1 to 63 of `a-z0-9-.`, with a letter or digit at both ends.
pub(crate) fn check(kind: &'static str, text: &str) -> Result<()> {
    let is_inner = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    let edges = [text.bytes().next(), text.bytes().last()];
    let has_valid_edges = edges
        .iter()
        .all(|edge| edge.is_some_and(|b| b.is_ascii_alphanumeric()));
    if has_valid_edges && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_inner) {
        return Ok(());
    }
    Err(crate::error::Error::Name {
        kind,
        text: text.to_owned(),
    })
}

/// Declares a name type that is cheap to clone, as its text is shared.
macro_rules! declare {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Validates a text as a name.
            ///
            /// # Errors
            ///
            /// Fails unless the text is 1 to 63 characters of `a-z0-9-.` and begins and
            /// ends with a letter or digit.
            pub fn new(text: &str) -> super::Result<Self> {
                super::check($kind, text)?;
                Ok(Self(text.into()))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = crate::error::Error;

            fn try_from(text: String) -> super::Result<Self> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::error::Error;

            fn from_str(text: &str) -> super::Result<Self> {
                Self::new(text)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

use declare;
