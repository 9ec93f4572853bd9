//! Selection of a target for one attempt of a request.

use super::draw;
use super::shift_state;
use super::tier;

/// Maximum number of tiers that one choice considers.
pub const MAX_TIERS: usize = 8;

/// All inputs of one choice, which make it reproducible.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Inputs {
    /// Seed of the request's random draws.
    pub seed: draw::Seed,
    /// Number of the attempt, starting at 1.
    pub attempt: u8,
    /// Time until the deadline, in microseconds; `u32::MAX` without a deadline.
    #[serde(rename = "remaining_us")]
    pub remaining: u32,
    /// Traffic shift that applies to the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shift: Option<shift_state::ShiftState>,
    /// Tiers that were considered, nearest first.
    pub tiers: arrayvec::ArrayVec<tier::Tier, MAX_TIERS>,
}

/// Result of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    /// Index of the target that the request is sent to.
    Target(u32),
    /// Some target could answer in time, but no drawn one has a free slot.
    #[serde(rename = "full")]
    NoFreeSlot,
    /// No drawn target can answer before the deadline.
    #[serde(rename = "late")]
    DeadlineUnmet,
    /// No target accepts new requests.
    #[serde(rename = "nowhere")]
    NoTarget,
}

impl Inputs {
    /// Creates the inputs of an attempt that has considered no tier yet.
    #[must_use]
    pub fn new(seed: draw::Seed, attempt: u8, remaining: u32) -> Self {
        Self {
            seed,
            attempt,
            remaining,
            ..Self::default()
        }
    }

    /// Sets the traffic shift that applies to the request.
    #[must_use]
    pub fn with_shift(self, shift: Option<shift_state::ShiftState>) -> Self {
        Self { shift, ..self }
    }

    /// Chooses a target from the nearest tier that has a free slot.
    ///
    /// Slow targets are used only if no other target has a free slot.
    #[must_use]
    pub fn choose(&self) -> Choice {
        let pick = |speed| {
            self.tiers
                .iter()
                .find_map(|tier| tier.pick(self.remaining, speed))
        };
        if let Some(candidate) =
            pick(tier::SpeedFilter::ExcludeSlow).or_else(|| pick(tier::SpeedFilter::Any))
        {
            return Choice::Target(candidate.index);
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

    /// Returns whether the tiers are in order and match the draws of the seed.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        let is_sorted = self
            .tiers
            .is_sorted_by_key(|tier| (tier.nearness, tier.delay));
        let matches_draws = self
            .tiers
            .iter()
            .all(|tier| tier.is_drawn_from(self.seed, self.attempt));
        let has_shift_tier = self
            .tiers
            .iter()
            .any(|tier| tier.nearness == tier::Nearness::Shift);
        let moves = self.shift.is_some_and(|shift| shift.moves(self.seed));
        let starts_near = self.tiers.first().is_none_or(|tier| {
            tier.number == 0 || tier.nearness == tier::Nearness::Shift || self.seed.explores()
        });
        is_sorted && matches_draws && starts_near && (moves || !has_shift_tier)
    }
}
