//! Limit of a token bucket: its rate and burst.

use super::amount;
use crate::unit;

/// The rate and burst of a whole budget, or of a share of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Limit {
    /// Tokens gained in a second.
    pub rate: amount::Amount,
    /// Maximum number of tokens in the bucket.
    pub burst: amount::Amount,
}

impl Limit {
    /// Zero rate and burst, which admit nothing.
    pub const ZERO: Self = Self::new(amount::Amount::ZERO, amount::Amount::ZERO);

    /// Creates a limit from tokens a second and a maximum level.
    #[must_use]
    pub const fn new(rate: amount::Amount, burst: amount::Amount) -> Self {
        Self { rate, burst }
    }

    /// Creates the limit of a client account, at one token for each request.
    #[must_use]
    pub const fn of_requests(rate: unit::Rate, burst: u64) -> Self {
        Self::new(
            amount::Amount::from_tokens(rate.get()),
            amount::Amount::from_tokens(burst),
        )
    }
}
