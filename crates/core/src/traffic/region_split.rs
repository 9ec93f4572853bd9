//! Which part of a region's requests runs in which region.

use std::collections;

use crate::instant;
use crate::name;

use super::hash;

/// Part of a region's slots that its own requests fill before some go elsewhere.
const COMFORT: f64 = 0.55;
/// Largest change of a part in a second, well below what the deployments allow in two.
const CHANGE: f64 = 0.045;

/// Slots and demand of one region for a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionCapacity {
    /// Slots of the targets that may be used.
    pub slots: f64,
    /// Slots that the region's requests keep busy.
    pub demand: f64,
}

/// Which part of one region's requests for a service runs in which region.
///
/// It answers slots that are spread unevenly over regions while demand is even,
/// or crowds that move: what a region cannot carry goes to regions with room,
/// always the same objects to the same region, so that targets there are warm
/// for them. The parts change in small steps, whatever the inputs do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionSplit {
    shares: collections::BTreeMap<name::Region, f64>,
    updated_at: instant::Instant,
}

impl RegionSplit {
    /// Returns the parts by region; they add up to 1.
    #[must_use]
    pub const fn shares(&self) -> &collections::BTreeMap<name::Region, f64> {
        &self.shares
    }

    /// Takes the parts that supply and demand ask for, as long as no request was placed.
    pub fn set(
        &mut self,
        own: &name::Region,
        supply: &collections::BTreeMap<name::Region, RegionCapacity>,
        now: instant::Instant,
    ) {
        self.shares = goal(own, supply);
        self.updated_at = now;
    }

    /// Moves the parts a step toward what supply and demand ask for.
    pub fn step_toward(
        &mut self,
        own: &name::Region,
        supply: &collections::BTreeMap<name::Region, RegionCapacity>,
        now: instant::Instant,
    ) {
        if self.shares.is_empty() {
            return self.set(own, supply, now);
        }
        let goal = goal(own, supply);
        let step = CHANGE * now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let farthest = goal
            .iter()
            .map(|(region, part)| (part - self.share(region)).abs())
            .fold(0.0, f64::max);
        let scale = if farthest > step {
            step / farthest
        } else {
            1.0
        };
        let all: collections::BTreeSet<_> =
            goal.keys().chain(self.shares.keys()).cloned().collect();
        let moved = all.into_iter().map(|region| {
            let wanted = goal.get(&region).copied().unwrap_or(0.0);
            let part = self.share(&region);
            (region, part + (wanted - part) * scale)
        });
        self.shares = moved.collect();
    }

    /// Returns the regions for an object: the planned one first, then by the object's own order.
    #[must_use]
    pub fn region_order(&self, own: &name::Region, object: hash::HashKey) -> Vec<&name::Region> {
        let mut drawn = object.fraction("region") - self.share(own);
        let mut first = None;
        if drawn >= 0.0 {
            for (region, part) in self.shares.iter().filter(|(region, _part)| *region != own) {
                drawn -= part;
                first = first.or_else(|| (drawn < 0.0).then_some(region));
            }
        }
        let mut order: Vec<&name::Region> = self.shares.keys().collect();
        order.sort_by(|a, b| {
            let key = |region: &name::Region| (Some(region) != first, region != own);
            let ranks = || {
                object
                    .score(b.as_str(), 1.0)
                    .total_cmp(&object.score(a.as_str(), 1.0))
            };
            key(a).cmp(&key(b)).then_with(ranks)
        });
        order
    }

    fn share(&self, region: &name::Region) -> f64 {
        self.shares.get(region).copied().unwrap_or(0.0)
    }
}

fn goal(
    own: &name::Region,
    supply: &collections::BTreeMap<name::Region, RegionCapacity>,
) -> collections::BTreeMap<name::Region, f64> {
    let slots: f64 = supply.values().map(|s| s.slots).sum();
    let demand: f64 = supply.values().map(|s| s.demand).sum();
    let level = if slots > 0.0 {
        (demand / slots).max(COMFORT)
    } else {
        COMFORT
    };
    let room = |s: &RegionCapacity| (s.slots * level - s.demand).max(0.0);
    let here = supply.get(own).copied().unwrap_or_default();
    let kept = if here.demand > 0.0 {
        (here.slots * level / here.demand).min(1.0)
    } else if here.slots > 0.0 {
        1.0
    } else {
        0.0
    };
    let far = supply.iter().filter(|(region, _supply)| *region != own);
    let spare: f64 = far.clone().map(|(_region, s)| room(s)).sum();
    let wide: f64 = far.clone().map(|(_region, s)| s.slots).sum();
    let mut parts: collections::BTreeMap<_, _> = far
        .map(|(region, s)| {
            let part = match (spare > 0.0, wide > 0.0) {
                (true, _) => room(s) / spare,
                (false, true) => s.slots / wide,
                (false, false) => 0.0,
            };
            (region.clone(), part * (1.0 - kept))
        })
        .collect();
    parts.insert(own.clone(), kept);
    parts
}
