//! Tier of equally near targets, and power-of-two-choices selection in it.

use super::candidate;
use super::draw;

/// Maximum number of targets that are drawn from one tier.
pub const MAX_DRAWN: usize = 4;

/// Number of drawn targets that are compared with each other.
const CHOICES: usize = 2;

/// Distance class of a tier; nearer tiers are considered first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Nearness {
    /// Region that a traffic shift moves the request to.
    Shift,
    /// The entry host's own availability zone.
    #[default]
    #[serde(rename = "zone")]
    SameZone,
    /// Another availability zone of the entry host's region.
    #[serde(rename = "region")]
    SameRegion,
    /// Another region, reached over the link of the region pair.
    #[serde(rename = "pair")]
    OtherRegion,
}

/// Filter of targets by speed, for one pass over the tiers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeedFilter {
    /// Accepts only targets that are not far slower than the service's others.
    ExcludeSlow,
    /// Accepts slow targets too.
    Any,
}

/// Tier of equally near targets, with those that were drawn from it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Tier {
    /// Distance class of the targets.
    pub nearness: Nearness,
    /// Number of the tier in the host's order, which selects the random stream.
    pub number: u8,
    /// One-way delay to the targets, in microseconds.
    #[serde(rename = "delay_us")]
    pub delay: u32,
    /// Number of targets in the tier that accept new requests.
    pub usable: u32,
    /// Whether the budgets for the link and the region allow one more request.
    pub is_allowed: bool,
    /// Drawn targets, in drawn order.
    pub drawn: arrayvec::ArrayVec<candidate::Candidate, MAX_DRAWN>,
}

impl Tier {
    /// Returns the target to use, `None` if no drawn one has a slot and meets the deadline.
    ///
    /// `remaining` is the time until the deadline, in microseconds.
    ///
    /// Uses the power of two choices: the cheaper of two random targets wins
    /// (Mitzenmacher, "The power of two choices in randomized load balancing",
    /// 2001). Targets have few slots, so a second pair is tried if both are full.
    #[must_use]
    pub fn pick(&self, remaining: u32, speed: SpeedFilter) -> Option<&candidate::Candidate> {
        if !self.is_allowed {
            return None;
        }
        self.drawn.chunks(CHOICES).find_map(|pair| {
            pair.iter()
                .filter(|candidate| speed == SpeedFilter::Any || !candidate.is_slow)
                .filter(|candidate| !candidate.is_tried && candidate.free_slots() > 0)
                .filter(|candidate| self.answer_time(candidate) <= u64::from(remaining))
                .min_by_key(|candidate| candidate.cost())
        })
    }

    /// Returns whether some drawn target could answer in time if it had a free slot.
    ///
    /// `remaining` is the time until the deadline, in microseconds.
    #[must_use]
    pub fn can_answer_within(&self, remaining: u32) -> bool {
        self.drawn
            .iter()
            .any(|candidate| self.answer_time(candidate) <= u64::from(remaining))
    }

    /// Returns whether the drawn positions match the draws of this seed.
    #[must_use]
    pub fn is_drawn_from(&self, seed: draw::Seed, attempt: u8) -> bool {
        let positions = seed.positions(attempt, self.number, self.usable);
        positions
            .iter()
            .eq(self.drawn.iter().map(|candidate| &candidate.position))
    }

    fn answer_time(&self, candidate: &candidate::Candidate) -> u64 {
        u64::from(self.delay) * 2 + u64::from(candidate.service_time)
    }
}
