//! Errors of the pure decisions.

/// A fault in text that came from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A name has characters or a length that names do not have.
    #[error("'{text}' is no {kind} name: use 1 to 63 of a-z, 0-9, '-' and '.'")]
    Name {
        /// What the name should have named.
        kind: &'static str,
        /// The text as it was given.
        text: String,
    },
    /// A quantity has no known unit or is out of range.
    #[error("'{text}' is no {kind}: write it like {example}")]
    Quantity {
        /// What the quantity measures.
        kind: &'static str,
        /// The text as it was given.
        text: String,
        /// A text that would be accepted.
        example: &'static str,
    },
    /// A record contradicts itself or another record.
    #[error("{record}: {reason}")]
    Contradiction {
        /// The record at fault.
        record: String,
        /// What contradicts what.
        reason: String,
    },
}
