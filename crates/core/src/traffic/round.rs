//! How often relays tell other availability zones of their own one.

use super::fleet_view;

/// Rounds between two summaries to another region: shares are divided by demand that is half a
/// second old at most when they are sent.
const FAR_ROUNDS: u32 = 2;
/// Rounds between those that tell of requests at targets and list ages, which are much longer.
const FAR_FULL_ROUNDS: u32 = 4;
/// Times by which messages from or to the second relay of a zone come less often.
const SECOND_ROUNDS: u32 = 4;
/// Messages in which each unchanged host is described once, to the own region: about four seconds.
///
/// It is prime, as the next one, so that a receiver of each second message hears of every host.
const NEAR_TURNS: u32 = 17;
/// The same to another region.
const FAR_TURNS: u32 = 5;
/// Rounds between two lists of ages, three of which fit into the silence that ends a host.
const AGE_ROUNDS: u32 = 4;

/// A round of reports, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Round(pub u32);

impl Round {
    /// Returns whether a relay sends to a relay of another zone in this round, by the places that
    /// both have in their zones' order.
    ///
    /// Bytes between regions cost most, so that summaries go there less often.
    #[must_use]
    pub const fn is_due(self, from: usize, to: usize, is_near: bool) -> bool {
        let mut every = if is_near { 1 } else { FAR_ROUNDS };
        match from {
            0 => {}
            1 => every *= SECOND_ROUNDS,
            _ => return false,
        }
        if to > 0 {
            every *= SECOND_ROUNDS;
        }
        self.0.is_multiple_of(every)
    }

    /// Returns what a message to the own region tells in this round.
    #[must_use]
    pub const fn same_region_scope(self) -> fleet_view::Scope {
        fleet_view::Scope::Partial {
            slice: self.0 % NEAR_TURNS,
            slices: NEAR_TURNS,
            has_ages: self.0.is_multiple_of(AGE_ROUNDS),
        }
    }

    /// Returns what a message to another region tells in this round.
    #[must_use]
    pub const fn cross_region_scope(self) -> fleet_view::Scope {
        fleet_view::Scope::Partial {
            slice: self.0 / FAR_ROUNDS % FAR_TURNS,
            slices: FAR_TURNS,
            has_ages: self.has_cross_region_loads(),
        }
    }

    /// Returns whether messages tell another region's requests at targets in this round.
    #[must_use]
    pub const fn has_cross_region_loads(self) -> bool {
        self.0.is_multiple_of(FAR_FULL_ROUNDS)
    }
}
