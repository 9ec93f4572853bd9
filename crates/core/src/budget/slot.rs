//! Slots of the reserve, and their rows in the shared table.

use std::collections;

use super::share;
use super::timing;
use crate::instant;
use crate::name;
use crate::unit;

/// Key of the row of [`Totals`] in the shared table.
pub const TOTALS_KEY: &str = "budget/ledger";
/// Prefix of the keys of claimed slots' rows in the shared table.
pub const SLOT_KEY_PREFIX: &str = "budget/slot/";

/// The part of each budget that is divided into fixed slots for all availability zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Reserve {
    /// Percentage of each budget that the slots share.
    pub percent: unit::Percent,
    /// Number of availability zones.
    pub zones: u32,
    /// Number of slots of each availability zone, more than it has entry hosts.
    pub slots: u32,
}

impl Reserve {
    /// Returns the share of one slot.
    #[must_use]
    pub fn share(&self) -> share::Share {
        share::Share::of_slot(self.percent, self.zones.saturating_mul(self.slots))
    }
}

/// The sums over all claims, in a row that each change of claims also writes.
///
/// The conditional write of this row serialises concurrent claims.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Totals {
    /// Sum of the claimed slots' shares.
    pub claimed: share::Share,
    /// Maximum sum of shares; it changes only while no slot is claimed.
    pub limit: share::Share,
}

impl Totals {
    /// Returns the totals after a claim, or nothing if the claim would exceed the limit.
    #[must_use]
    pub fn with_claim(self, claim: share::Share, reserve: unit::Percent) -> Option<Self> {
        let reserve = share::Share::of_slot(reserve, 1);
        let is_unclaimed = self.claimed == share::Share::NONE;
        let limit = if is_unclaimed { reserve } else { self.limit };
        let claimed = self.claimed.plus(claim);
        (claimed <= limit.min(reserve)).then_some(Self { claimed, limit })
    }

    /// Returns the totals after claims with this share were released.
    #[must_use]
    pub fn without_claim(self, claim: share::Share) -> Self {
        Self {
            claimed: self.claimed.minus(claim),
            limit: self.limit,
        }
    }
}

/// A slot that an entry process has claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Slot {
    /// Availability zone of the slot.
    pub zone: name::Zone,
    /// Number of the slot in its zone, from 0.
    pub number: u32,
    /// Share of each budget, fixed when the slot was claimed.
    pub share: share::Share,
    /// Host of the process that claimed it.
    pub host: name::Host,
    /// Process that claimed it.
    pub holder: name::Incarnation,
}

impl Slot {
    /// Returns the key of the slot's row in the table.
    #[must_use]
    pub fn key(&self) -> String {
        format!("{SLOT_KEY_PREFIX}{}/{}", self.zone, self.number)
    }

    /// Returns the sum of the shares of claimed slots.
    #[must_use]
    pub fn total_share(slots: &[Self]) -> share::Share {
        let shares = slots.iter().map(|slot| slot.share);
        shares.fold(share::Share::NONE, share::Share::plus)
    }

    /// Returns whether the slot of a host that is absent from the platform's list may be freed.
    ///
    /// The platform drops a host from its list only when it has stopped or is frozen. A
    /// frozen host that resumes after this time gives up its slots by itself.
    #[must_use]
    pub fn is_reclaimable(
        absent_since: instant::Instant,
        timing: &timing::Timing,
        now: instant::Instant,
    ) -> bool {
        now.since(absent_since) >= timing.lengthen_for_drift(timing.max_pause)
    }

    /// Returns the lowest numbers of a zone's unclaimed slots, at most `count`.
    #[must_use]
    pub fn vacant(slots: &[Self], zone: &name::Zone, reserve: &Reserve, count: usize) -> Vec<u32> {
        let claimed: collections::BTreeSet<u32> = slots
            .iter()
            .filter(|slot| slot.zone == *zone)
            .map(|slot| slot.number)
            .collect();
        let vacant = (0..reserve.slots).filter(|number| !claimed.contains(number));
        vacant.take(count).collect()
    }
}
