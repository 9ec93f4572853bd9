//! The split of one region's requests over the regions that run them.

use std::collections;

use crate::instant;
use crate::name;

use super::hash;

/// Utilization of a region's slots up to which all its requests stay in the region.
const LOCAL_UTILIZATION: f64 = 0.55;
/// Largest change of a share per second, well below what the deployments allow in two seconds.
const MAX_CHANGE_PER_SECOND: f64 = 0.045;

/// Slots and demand of one region for a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionCapacity {
    /// Slots of the targets that may be used.
    pub slots: f64,
    /// Slots that requests from the region keep busy.
    pub demand: f64,
}

/// The shares of one region's requests for a service that run in each region.
///
/// Demand and slots can be distributed differently over the regions, and demand can
/// move. Requests that a region has no slots for go to regions with free slots. The
/// same affinity keys always go to the same region, so that targets there are warm
/// for them. The shares change in small steps even if the inputs jump.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionSplit {
    shares: collections::BTreeMap<name::Region, f64>,
    updated_at: instant::Instant,
}

impl RegionSplit {
    /// Returns the shares by region; they add up to 1.
    #[must_use]
    pub const fn shares(&self) -> &collections::BTreeMap<name::Region, f64> {
        &self.shares
    }

    /// Sets the shares to the goal at once; for use before the first request.
    pub fn set(
        &mut self,
        own: &name::Region,
        capacity: &collections::BTreeMap<name::Region, RegionCapacity>,
        now: instant::Instant,
    ) {
        self.shares = goal(own, capacity);
        self.updated_at = now;
    }

    /// Moves the shares toward the goal, as far as the time since the last call allows.
    pub fn step_toward(
        &mut self,
        own: &name::Region,
        capacity: &collections::BTreeMap<name::Region, RegionCapacity>,
        now: instant::Instant,
    ) {
        if self.shares.is_empty() {
            return self.set(own, capacity, now);
        }
        let goal = goal(own, capacity);
        let step = MAX_CHANGE_PER_SECOND * now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let largest_change = goal
            .iter()
            .map(|(region, share)| (share - self.share(region)).abs())
            .fold(0.0, f64::max);
        let scale = if largest_change > step {
            step / largest_change
        } else {
            1.0
        };
        let all: collections::BTreeSet<_> =
            goal.keys().chain(self.shares.keys()).cloned().collect();
        let moved = all.into_iter().map(|region| {
            let wanted = goal.get(&region).copied().unwrap_or(0.0);
            let share = self.share(&region);
            (region, share + (wanted - share) * scale)
        });
        self.shares = moved.collect();
    }

    /// Returns the regions for an affinity key: the planned one first, then this host's region.
    ///
    /// The other regions follow in the key's rendezvous hashing order.
    #[must_use]
    pub fn region_order(&self, own: &name::Region, key: hash::HashKey) -> Vec<&name::Region> {
        let mut point = key.fraction("region") - self.share(own);
        let mut first = None;
        if point >= 0.0 {
            for (region, share) in self.shares.iter().filter(|(region, _share)| *region != own) {
                point -= share;
                first = first.or_else(|| (point < 0.0).then_some(region));
            }
        }
        let mut order: Vec<&name::Region> = self.shares.keys().collect();
        order.sort_by(|a, b| {
            let sort_key = |region: &name::Region| (Some(region) != first, region != own);
            let scores = || {
                key.score(b.as_str(), 1.0)
                    .total_cmp(&key.score(a.as_str(), 1.0))
            };
            sort_key(a).cmp(&sort_key(b)).then_with(scores)
        });
        order
    }

    fn share(&self, region: &name::Region) -> f64 {
        self.shares.get(region).copied().unwrap_or(0.0)
    }
}

/// Returns the shares that the capacities ask for.
fn goal(
    own: &name::Region,
    capacity: &collections::BTreeMap<name::Region, RegionCapacity>,
) -> collections::BTreeMap<name::Region, f64> {
    let slots: f64 = capacity.values().map(|s| s.slots).sum();
    let demand: f64 = capacity.values().map(|s| s.demand).sum();
    let utilization = if slots > 0.0 {
        (demand / slots).max(LOCAL_UTILIZATION)
    } else {
        LOCAL_UTILIZATION
    };
    let free_slots = |s: &RegionCapacity| (s.slots * utilization - s.demand).max(0.0);
    let own_capacity = capacity.get(own).copied().unwrap_or_default();
    let own_share = if own_capacity.demand > 0.0 {
        (own_capacity.slots * utilization / own_capacity.demand).min(1.0)
    } else if own_capacity.slots > 0.0 {
        1.0
    } else {
        0.0
    };
    let other_regions = capacity.iter().filter(|(region, _capacity)| *region != own);
    let total_free_slots: f64 = other_regions
        .clone()
        .map(|(_region, s)| free_slots(s))
        .sum();
    let other_slots: f64 = other_regions.clone().map(|(_region, s)| s.slots).sum();
    let mut shares: collections::BTreeMap<_, _> = other_regions
        .map(|(region, s)| {
            let share = match (total_free_slots > 0.0, other_slots > 0.0) {
                (true, _) => free_slots(s) / total_free_slots,
                (false, true) => s.slots / other_slots,
                (false, false) => 0.0,
            };
            (region.clone(), share * (1.0 - own_share))
        })
        .collect();
    shares.insert(own.clone(), own_share);
    shares
}
