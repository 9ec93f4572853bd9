//! Errors in names, quantities and records that come from outside.

/// An invalid name, quantity or record that came from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A name has a character or a length that is not allowed.
    #[error("'{text}' is not a valid {kind} name: use 1 to 63 of a-z, 0-9, '-' and '.'")]
    Name {
        /// What the name would identify, such as a region.
        kind: &'static str,
        /// The invalid text.
        text: String,
    },
    /// A quantity is malformed, lacks its unit or is out of range.
    #[error("'{text}' is not a valid {kind}: write it like {example}")]
    Quantity {
        /// What the quantity measures.
        kind: &'static str,
        /// The invalid text.
        text: String,
        /// An example of valid text.
        example: &'static str,
    },
    /// A record contradicts itself or another record.
    #[error("{record}: {reason}")]
    Contradiction {
        /// Identity of the invalid record.
        record: String,
        /// Which values contradict each other.
        reason: String,
    },
}
