//! Rows of the reserve's slots in the platform's table.

use std::collections;

use super::share;
use super::timing;
use crate::instant;
use crate::name;
use crate::unit;

/// Key of the ledger's row in the table.
pub const TOTALS_KEY: &str = "budget/ledger";
/// Prefix of the keys of claimed slots in the table.
pub const SLOT_KEY_PREFIX: &str = "budget/slot/";

/// The reserve of a deployment: how many slots each availability zone has, and their share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Reserve {
    /// Part of each budget that is kept as fixed shares.
    pub percent: unit::Percent,
    /// Availability zones.
    pub zones: u32,
    /// Slots of each availability zone, more than it has entry hosts.
    pub slots: u32,
}

impl Reserve {
    /// Returns the share of a slot that is claimed under this plan.
    #[must_use]
    pub fn share(&self) -> share::Share {
        share::Share::of_slot(self.percent, self.zones.saturating_mul(self.slots))
    }
}

/// The row that every change of claims writes, too, so that claims never race.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Totals {
    /// Sum of the claimed slots' shares.
    pub claimed: share::Share,
    /// Largest sum that claims may reach; it changes only while nothing is claimed.
    pub limit: share::Share,
}

impl Totals {
    /// Returns the ledger after a claim, or nothing if the claim would exceed the limit.
    #[must_use]
    pub fn with_claim(self, claim: share::Share, reserve: unit::Percent) -> Option<Self> {
        let reserve = share::Share::of_slot(reserve, 1);
        let is_unused = self.claimed == share::Share::NONE;
        let limit = if is_unused { reserve } else { self.limit };
        let claimed = self.claimed.plus(claim);
        (claimed <= limit.min(reserve)).then_some(Self { claimed, limit })
    }

    /// Returns the ledger after claims were freed.
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
    /// Share of each budget, fixed by the claim.
    pub share: share::Share,
    /// Host of the process that claimed it.
    pub host: name::Host,
    /// Life of the process that claimed it.
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

    /// Returns whether a slot may be freed whose host has been absent from the platform's list.
    ///
    /// The list drops a host only when it has ended or is frozen; one that wakes
    /// after this time gives its slots up by itself.
    #[must_use]
    pub fn is_reclaimable(
        absent: instant::Instant,
        timing: &timing::Timing,
        now: instant::Instant,
    ) -> bool {
        now.since(absent) >= timing.lengthen_for_drift(timing.max_pause)
    }

    /// Returns the lowest numbers of a zone's slots that nobody has claimed, at most `count`.
    #[must_use]
    pub fn vacant(slots: &[Self], zone: &name::Zone, plan: &Reserve, count: usize) -> Vec<u32> {
        let taken: collections::BTreeSet<u32> = slots
            .iter()
            .filter(|slot| slot.zone == *zone)
            .map(|slot| slot.number)
            .collect();
        let vacant = (0..plan.slots).filter(|number| !taken.contains(number));
        vacant.take(count).collect()
    }
}
