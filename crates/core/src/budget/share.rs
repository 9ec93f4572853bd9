//! Shares of a budget, in parts per million.

use super::amount;
use super::limit;
use super::timing;
use crate::unit;

const PARTS_PER_MILLION: u64 = 1_000_000;
const PPM_PER_BASIS_POINT: u32 = 100;

/// A share of a budget, in parts per million.
///
/// A slot's share is fixed when the slot is claimed. Applying a share to a limit
/// rounds down and is monotonic in the limit. So while hosts apply shares to different
/// versions of a limit, the results add up to no more than the largest version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Share(u32);

impl Share {
    /// The whole budget.
    pub const WHOLE: Self = Self(1_000_000);
    /// No part of the budget.
    pub const NONE: Self = Self(0);

    /// Returns the share of one of `slots` equal slots of the reserve, none for 0 slots.
    #[must_use]
    pub fn of_slot(reserve: unit::Percent, slots: u32) -> Self {
        let whole = reserve.basis_points() * PPM_PER_BASIS_POINT;
        Self(whole.checked_div(slots).unwrap_or(0))
    }

    /// Returns the sum, at most [`Share::WHOLE`].
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self((self.0 + other.0).min(Self::WHOLE.0))
    }

    /// Returns the difference, at least [`Share::NONE`].
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the difference to the whole.
    #[must_use]
    pub const fn complement(self) -> Self {
        Self(Self::WHOLE.0.saturating_sub(self.0))
    }

    /// Returns this share of a limit, with the rate reduced by the bound on clock drift.
    #[must_use]
    pub fn of(self, limit: limit::Limit, timing: &timing::Timing) -> limit::Limit {
        let scale = |amount: amount::Amount| amount.scaled(u64::from(self.0), PARTS_PER_MILLION);
        limit::Limit::new(timing.slow_for_drift(scale(limit.rate)), scale(limit.burst))
    }
}
