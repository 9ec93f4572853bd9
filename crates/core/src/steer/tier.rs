//! Targets that are equally near to an entry host.

use super::candidate;
use super::draw;

/// Targets that are drawn from one tier at most.
pub const MAX_DRAWN: usize = 4;

const COMPARED: usize = 2;

/// How near the targets of a tier are; nearer ones are considered first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Nearness {
    /// The region that a traffic shift moves the request to.
    Shift,
    /// The entry host's own availability zone.
    #[default]
    #[serde(rename = "zone")]
    SameZone,
    /// Another availability zone of the entry host's region.
    #[serde(rename = "region")]
    SameRegion,
    /// Another region, over the link of the region pair.
    #[serde(rename = "pair")]
    OtherRegion,
}

/// Which targets a pass over the tiers takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeedFilter {
    /// Those that answer about as fast as the service's others.
    ExcludeSlow,
    /// Slow ones too.
    Any,
}

/// A tier and the targets that were drawn from it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Tier {
    /// How near the targets are.
    pub nearness: Nearness,
    /// Number of the tier in the host's order, which selects the draws.
    pub number: u8,
    /// One-way delay to the targets, in microseconds.
    #[serde(rename = "delay_us")]
    pub delay: u32,
    /// Targets of the tier that may get new work.
    pub usable: u32,
    /// Whether the budgets of the way there allow one more request.
    pub is_allowed: bool,
    /// The drawn targets, in drawn order.
    pub drawn: arrayvec::ArrayVec<candidate::Candidate, MAX_DRAWN>,
}

impl Tier {
    /// Returns the drawn target to use, none if no drawn target has room in time.
    ///
    /// The cheaper of two random targets is taken (Mitzenmacher, "The power of
    /// two choices in randomized load balancing", 2001). As slots are few, a
    /// second pair is looked at when both are full.
    #[must_use]
    pub fn pick(&self, remaining: u32, pace: SpeedFilter) -> Option<&candidate::Candidate> {
        if !self.is_allowed {
            return None;
        }
        self.drawn.chunks(COMPARED).find_map(|pair| {
            pair.iter()
                .filter(|known| pace == SpeedFilter::Any || !known.is_slow)
                .filter(|known| !known.is_tried && known.free_slots() > 0)
                .filter(|known| self.reach(known) <= u64::from(remaining))
                .min_by_key(|known| known.cost())
        })
    }

    /// Returns whether some drawn target could answer in time, were it free.
    #[must_use]
    pub fn can_answer_within(&self, remaining: u32) -> bool {
        self.drawn
            .iter()
            .any(|known| self.reach(known) <= u64::from(remaining))
    }

    /// Returns whether the drawn positions come from this seed.
    #[must_use]
    pub fn is_drawn_from(&self, seed: draw::Seed, attempt: u8) -> bool {
        let positions = seed.positions(attempt, self.number, self.usable);
        positions
            .iter()
            .eq(self.drawn.iter().map(|known| &known.position))
    }

    fn reach(&self, known: &candidate::Candidate) -> u64 {
        u64::from(self.delay) * 2 + u64::from(known.service_time)
    }
}
