//! Shares of a budget.

use super::amount;
use super::limit;
use super::timing;
use crate::unit;

const MILLION: u64 = 1_000_000;
const PPM_PER_BASIS_POINT: u32 = 100;

/// A share of any budget, in parts per million.
///
/// A slot's share is fixed when the slot is claimed. Since a share of a budget
/// rounds down, and grows with the budget, parts that follow different versions
/// of a record add up to no more than the largest of these versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Share(u32);

impl Share {
    /// The whole.
    pub const WHOLE: Self = Self(1_000_000);
    /// Nothing.
    pub const NONE: Self = Self(0);

    /// Returns the share of one of `slots` equal slots of the reserve.
    #[must_use]
    pub fn of_slot(reserve: unit::Percent, slots: u32) -> Self {
        let whole = reserve.basis_points() * PPM_PER_BASIS_POINT;
        Self(whole.checked_div(slots).unwrap_or(0))
    }

    /// Returns the sum, at most the whole.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self((self.0 + other.0).min(Self::WHOLE.0))
    }

    /// Returns the difference, at least nothing.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns what this share leaves of the whole.
    #[must_use]
    pub const fn complement(self) -> Self {
        Self(Self::WHOLE.0.saturating_sub(self.0))
    }

    /// Returns this share of a budget, slowed by the bound on clock drift.
    #[must_use]
    pub fn of(self, whole: limit::Limit, timing: &timing::Timing) -> limit::Limit {
        let scale = |amount: amount::Amount| amount.scaled(u64::from(self.0), MILLION);
        limit::Limit::new(timing.slow_for_drift(scale(whole.rate)), scale(whole.burst))
    }
}
