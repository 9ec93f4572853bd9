//! Amounts of tokens, in fixed-point arithmetic.

use std::fmt;

const MICROS_PER_TOKEN: u64 = 1_000_000;

/// An amount of tokens in millionths; sums and differences saturate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Amount(u64);

impl Amount {
    /// No tokens.
    pub const ZERO: Self = Self(0);
    /// One token.
    pub const TOKEN: Self = Self(MICROS_PER_TOKEN);
    /// The largest amount.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates an amount from whole tokens, at most [`Amount::MAX`].
    #[must_use]
    pub const fn from_tokens(tokens: u64) -> Self {
        Self(tokens.saturating_mul(MICROS_PER_TOKEN))
    }

    /// Creates an amount from millionths of a token.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the millionths of a token.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the sum, at most [`Amount::MAX`].
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, at least zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns this amount times `numerator / denominator`, rounded down.
    ///
    /// # Panics
    ///
    /// Panics on a denominator of zero.
    #[must_use]
    pub fn scaled(self, numerator: u64, denominator: u64) -> Self {
        let product = u128::from(self.0) * u128::from(numerator);
        let scaled = product / u128::from(denominator);
        Self(u64::try_from(scaled).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.0 / MICROS_PER_TOKEN;
        write!(f, "{whole}.{:06}", self.0 % MICROS_PER_TOKEN)
    }
}
