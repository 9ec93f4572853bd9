//! The rate and burst of a bucket.

use super::amount;
use crate::unit;

/// A rate and a burst: all of a budget, or a part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Limit {
    /// Tokens that appear in a second.
    pub rate: amount::Amount,
    /// Most tokens in hand.
    pub burst: amount::Amount,
}

impl Limit {
    /// No rate and no burst.
    pub const ZERO: Self = Self::new(amount::Amount::ZERO, amount::Amount::ZERO);

    /// Creates a part.
    #[must_use]
    pub const fn new(rate: amount::Amount, burst: amount::Amount) -> Self {
        Self { rate, burst }
    }

    /// Creates the whole budget of a client account, one token a request.
    #[must_use]
    pub const fn of_requests(rate: unit::Rate, burst: u64) -> Self {
        Self::new(
            amount::Amount::from_tokens(rate.get()),
            amount::Amount::from_tokens(burst),
        )
    }
}
