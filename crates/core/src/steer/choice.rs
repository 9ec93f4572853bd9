//! Choice of a target for one attempt of a request.

use super::draw;
use super::shift_state;
use super::tier;

/// Tiers that one choice looks at, at most.
pub const MAX_TIERS: usize = 8;

/// Everything that one choice depends on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Inputs {
    /// Seed of the request's draws.
    pub seed: draw::Seed,
    /// Number of the attempt, from 1.
    pub attempt: u8,
    /// Time until the deadline, in microseconds, or the maximum where there is none.
    #[serde(rename = "remaining_us")]
    pub remaining: u32,
    /// The traffic shift that concerns the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shift: Option<shift_state::ShiftState>,
    /// The tiers that were looked at, nearest first.
    pub tiers: arrayvec::ArrayVec<tier::Tier, MAX_TIERS>,
}

/// What a choice comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    /// The request goes to the target with this index.
    Target(u32),
    /// Targets could answer in time, but none that was drawn has room.
    #[serde(rename = "full")]
    NoFreeSlot,
    /// No target can answer before the deadline.
    #[serde(rename = "late")]
    DeadlineUnmet,
    /// No target may get new work.
    #[serde(rename = "nowhere")]
    NoTarget,
}

impl Inputs {
    /// Creates the inputs of an attempt, without tiers.
    #[must_use]
    pub fn new(seed: draw::Seed, attempt: u8, remaining: u32) -> Self {
        Self {
            seed,
            attempt,
            remaining,
            ..Self::default()
        }
    }

    /// Adds the traffic shift that concerns the request.
    #[must_use]
    pub fn with_shift(self, shift: Option<shift_state::ShiftState>) -> Self {
        Self { shift, ..self }
    }

    /// Chooses a target from the tiers, the nearest with room first.
    ///
    /// Slow targets are taken only where no other has room.
    #[must_use]
    pub fn choose(&self) -> Choice {
        let pick = |pace| {
            self.tiers
                .iter()
                .find_map(|tier| tier.pick(self.remaining, pace))
        };
        if let Some(known) =
            pick(tier::SpeedFilter::ExcludeSlow).or_else(|| pick(tier::SpeedFilter::Any))
        {
            return Choice::Target(known.index);
        }
        if self.tiers.iter().all(|tier| tier.usable == 0) {
            return Choice::NoTarget;
        }
        if self
            .tiers
            .iter()
            .any(|tier| tier.can_answer_within(self.remaining))
        {
            return Choice::NoFreeSlot;
        }
        Choice::DeadlineUnmet
    }

    /// Returns whether the tiers stand in order and hold the draws of the seed.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        let is_sorted = self
            .tiers
            .is_sorted_by_key(|tier| (tier.nearness, tier.delay));
        let has_draws = self
            .tiers
            .iter()
            .all(|tier| tier.is_drawn_from(self.seed, self.attempt));
        let has_shift = self
            .tiers
            .iter()
            .any(|tier| tier.nearness == tier::Nearness::Shift);
        let moves = self.shift.is_some_and(|shift| shift.moves(self.seed));
        let starts_near = self.tiers.first().is_none_or(|tier| {
            tier.number == 0 || tier.nearness == tier::Nearness::Shift || self.seed.explores()
        });
        is_sorted && has_draws && starts_near && (moves || !has_shift)
    }
}
