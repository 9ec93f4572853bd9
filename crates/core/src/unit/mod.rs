//! Quantities with their units, read and written as text.

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

/// Result of reading a quantity.
pub type Result<T> = std::result::Result<T, crate::error::Error>;

/// Lets a quantity be read from and written to text.
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
