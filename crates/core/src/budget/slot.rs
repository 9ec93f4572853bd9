//! Rows of the reserve's slots in the platform's table.

use std::collections;

use super::share;
use super::timing;
use crate::instant;
use crate::name;
use crate::unit;

/// The reserve of a deployment: how many slots each availability zone has, and their share.
///
/// The number of zones and slots must not change while any slot is claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Plan {
    /// Part of each budget that is kept as fixed shares.
    pub reserve: unit::Percent,
    /// Availability zones.
    pub zones: u32,
    /// Slots of each availability zone, more than it has entry hosts.
    pub slots: u32,
}

impl Plan {
    /// Returns the share of a slot that is claimed under this plan.
    #[must_use]
    pub fn share(&self) -> share::Share {
        share::Share::of_slot(self.reserve, self.zones.saturating_mul(self.slots))
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
    /// Returns the sum of the shares of claimed slots.
    #[must_use]
    pub fn claimed(slots: &[Self]) -> share::Share {
        let shares = slots.iter().map(|slot| slot.share);
        shares.fold(share::Share::NONE, share::Share::plus)
    }

    /// Returns whether a slot may be freed whose host has been absent from the platform's list.
    ///
    /// The list drops a host only when it has ended or is frozen; one that wakes
    /// after this time gives its slots up by itself.
    #[must_use]
    pub fn may_free(
        absent: instant::Instant,
        timing: &timing::Timing,
        now: instant::Instant,
    ) -> bool {
        now.since(absent) >= timing.lengthened(timing.frozen)
    }

    /// Returns the lowest numbers of a zone's slots that nobody has claimed, at most `count`.
    #[must_use]
    pub fn vacant(slots: &[Self], zone: &name::Zone, plan: &Plan, count: usize) -> Vec<u32> {
        let taken: collections::BTreeSet<u32> = slots
            .iter()
            .filter(|slot| slot.zone == *zone)
            .map(|slot| slot.number)
            .collect();
        let vacant = (0..plan.slots).filter(|number| !taken.contains(number));
        vacant.take(count).collect()
    }
}
