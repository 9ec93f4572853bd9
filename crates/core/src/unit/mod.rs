//! Quantities with units, parsed from and displayed as text.

mod bandwidth;
mod human_duration;
mod percent;
mod rate;
mod version;

pub use bandwidth::Bandwidth;
pub use human_duration::HumanDuration;
pub use percent::Percent;
pub use rate::Rate;
pub use version::Version;

/// Result of parsing a quantity.
pub type Result<T> = std::result::Result<T, crate::error::Error>;

/// Implements the conversions from and to `String` that serde uses for a quantity.
macro_rules! textual {
    ($name:ident) => {
        impl TryFrom<String> for $name {
            type Error = crate::error::Error;

            fn try_from(text: String) -> super::Result<Self> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> Self {
                value.to_string()
            }
        }
    };
}

use textual;
