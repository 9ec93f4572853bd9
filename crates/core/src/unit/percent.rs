//! Percentage with two decimals.

use std::fmt;
use std::str;

use crate::error;

const BASIS_POINTS_PER_PERCENT: u32 = 100;
const MAX_BASIS_POINTS: u32 = 10_000;

/// A percentage from 0% to 100% in basis points, written like `99.9%`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Percent(u32);

impl Percent {
    /// 100%.
    pub const WHOLE: Self = Self(MAX_BASIS_POINTS);

    /// Creates a percentage from basis points; more than 10 000 count as 100%.
    #[must_use]
    pub const fn from_basis_points(points: u32) -> Self {
        if points > MAX_BASIS_POINTS {
            Self::WHOLE
        } else {
            Self(points)
        }
    }

    /// Returns the percentage in basis points, from 0 to 10 000.
    #[must_use]
    pub const fn basis_points(self) -> u32 {
        self.0
    }

    /// Returns this percentage of `amount`, rounded down.
    #[must_use]
    pub fn of(self, amount: u64) -> u64 {
        let product = u128::from(amount) * u128::from(self.0) / u128::from(MAX_BASIS_POINTS);
        u64::try_from(product).unwrap_or(u64::MAX)
    }
}

impl str::FromStr for Percent {
    type Err = error::Error;

    fn from_str(text: &str) -> super::Result<Self> {
        let invalid = || error::Error::Quantity {
            kind: "percentage from 0% to 100%",
            text: text.to_owned(),
            example: "99.9%",
        };
        let number = text.strip_suffix('%').ok_or_else(invalid)?;
        let (whole, fraction) = number.split_once('.').unwrap_or((number, ""));
        let padded = format!("{fraction:0<2}");
        if padded.len() != 2 || !padded.bytes().all(|b| b.is_ascii_digit()) {
            return Err(invalid());
        }
        let whole: u32 = whole.trim().parse().map_err(|_error| invalid())?;
        let hundredths: u32 = padded.parse().map_err(|_error| invalid())?;
        let points = whole
            .saturating_mul(BASIS_POINTS_PER_PERCENT)
            .saturating_add(hundredths);
        if points > MAX_BASIS_POINTS {
            return Err(invalid());
        }
        Ok(Self(points))
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.0 / BASIS_POINTS_PER_PERCENT;
        let hundredths = self.0 % BASIS_POINTS_PER_PERCENT;
        if hundredths == 0 {
            return write!(f, "{whole}%");
        }
        write!(
            f,
            "{}%",
            format!("{whole}.{hundredths:02}").trim_end_matches('0')
        )
    }
}

super::textual!(Percent);
