//! The schedule of relays' messages to other hosts, by the number of the report round.

use super::fleet_view;

/// Rounds between two summaries to another region.
///
/// Summaries contain demand that is at most half a second old when they are sent.
const CROSS_REGION_ROUNDS: u32 = 2;
/// Rounds between summaries to another region that list loads and ages too.
///
/// Loads and ages make a summary much longer.
const CROSS_REGION_FULL_ROUNDS: u32 = 4;
/// Factor by which messages from or to the second relay of a zone are less frequent.
const SECOND_RELAY_FACTOR: u32 = 4;
/// Slices of the hosts in messages within the region; each host is described in about four seconds.
///
/// This and [`CROSS_REGION_SLICES`] are prime, so that a host that receives only some of the
/// messages at a regular interval still gets every slice.
const SAME_REGION_SLICES: u32 = 17;
/// Slices of the hosts in messages to another region.
const CROSS_REGION_SLICES: u32 = 5;
/// Rounds between two lists of ages within the region.
///
/// Three lists fit into the time-out of a relayed host.
const AGE_ROUNDS: u32 = 4;

/// The number of a round of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Round(pub u32);

impl Round {
    /// Returns whether a relay sends a summary to a relay of another zone in this round.
    ///
    /// `from` and `to` are the relays' positions in their zones. Traffic between regions is the
    /// most expensive, so summaries to other regions are sent less often.
    #[must_use]
    pub const fn is_due(self, from: usize, to: usize, is_same_region: bool) -> bool {
        let mut interval = if is_same_region {
            1
        } else {
            CROSS_REGION_ROUNDS
        };
        match from {
            0 => {}
            1 => interval *= SECOND_RELAY_FACTOR,
            _ => return false,
        }
        if to > 0 {
            interval *= SECOND_RELAY_FACTOR;
        }
        self.0.is_multiple_of(interval)
    }

    /// Returns the scope of messages within the region in this round.
    #[must_use]
    pub const fn same_region_scope(self) -> fleet_view::Scope {
        fleet_view::Scope::Partial {
            slice: self.0 % SAME_REGION_SLICES,
            slices: SAME_REGION_SLICES,
            has_ages: self.0.is_multiple_of(AGE_ROUNDS),
        }
    }

    /// Returns the scope of messages to another region in this round.
    #[must_use]
    pub const fn cross_region_scope(self) -> fleet_view::Scope {
        fleet_view::Scope::Partial {
            slice: self.0 / CROSS_REGION_ROUNDS % CROSS_REGION_SLICES,
            slices: CROSS_REGION_SLICES,
            has_ages: self.has_cross_region_loads(),
        }
    }

    /// Returns whether messages contain loads of targets across regions in this round.
    #[must_use]
    pub const fn has_cross_region_loads(self) -> bool {
        self.0.is_multiple_of(CROSS_REGION_FULL_ROUNDS)
    }
}
