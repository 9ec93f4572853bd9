//! The targets of one service, and the order in which an object tries them.

use std::collections;

use crate::instant;
use crate::name;

use super::hash;
use super::limits;
use super::meter;
use super::processing_time;
use super::region_split;
use super::retry_budget;
use super::target_status;
use super::topology;

/// Objects that one target is trusted to keep warm; the least that the trials in docs/design show.
const KEPT_OBJECTS: usize = 24;
/// Objects that are told apart at most.
const MOST_OBJECTS: usize = 4_096;
/// Time constant of the measured demand.
const DEMAND_TIME: std::time::Duration = std::time::Duration::from_secs(2);

/// The targets of one service, and what their answers taught.
#[derive(Debug)]
pub struct Pool {
    /// How the service's targets want to be treated.
    pub terms: limits::ServiceLimits,
    /// Targets in order of their names.
    pub targets: Vec<target_status::TargetStatus>,
    /// Which part of this region's requests runs in which region.
    pub plan: region_split::RegionSplit,
    /// Budget of second sends.
    pub repeats: retry_budget::RetryBudget,
    /// Slots that this host's requests keep busy when targets are warm.
    pub demand: meter::Meter,
    /// Demand as this host last reported it.
    pub reported: f64,
    /// Longest wait at a target that a request of each rank may add to.
    pub patience: collections::BTreeMap<u8, std::time::Duration>,
    paces: collections::HashMap<String, processing_time::ProcessingTimes>,
    objects: collections::HashSet<hash::HashKey>,
    recent: collections::HashSet<hash::HashKey>,
}

impl Pool {
    /// Creates a pool without targets.
    #[must_use]
    pub fn new(terms: limits::ServiceLimits, repeats: retry_budget::RetryBudget) -> Self {
        Self {
            terms,
            targets: Vec::new(),
            plan: region_split::RegionSplit::default(),
            repeats,
            demand: meter::Meter::new(DEMAND_TIME),
            reported: 0.0,
            patience: collections::BTreeMap::new(),
            paces: collections::HashMap::new(),
            objects: collections::HashSet::new(),
            recent: collections::HashSet::new(),
        }
    }

    /// Returns the position of a target.
    #[must_use]
    pub fn position(&self, id: &name::Target) -> Option<usize> {
        self.targets
            .binary_search_by(|seat| seat.target.id.cmp(id))
            .ok()
    }

    /// Returns the learned times of a route.
    #[must_use]
    pub fn pace(&self, route: &str) -> processing_time::ProcessingTimes {
        self.paces.get(route).copied().unwrap_or_default()
    }

    /// Adds the time that a request of a route took.
    pub fn learn(
        &mut self,
        route: &str,
        warmth: processing_time::Warmth,
        work: std::time::Duration,
    ) {
        match self.paces.get_mut(route) {
            Some(pace) => pace.add(warmth, work),
            None => self
                .paces
                .entry(route.to_owned())
                .or_default()
                .add(warmth, work),
        }
    }

    /// Counts a request about an object.
    pub fn see(&mut self, object: hash::HashKey, work: std::time::Duration, now: instant::Instant) {
        self.demand.add(work.as_secs_f64(), now);
        if self.recent.len() < MOST_OBJECTS {
            self.recent.insert(object);
        }
        if self.objects.len() < MOST_OBJECTS {
            self.objects.insert(object);
        }
    }

    /// Works out the load that is reckoned with at targets whose reports are old.
    pub fn compare(&mut self, now: instant::Instant) {
        let reports = || self.targets.iter().map(|seat| seat.reported(now));
        let trust: f64 = reports().map(|(_load, trust)| trust).sum();
        let load: f64 = reports().map(|(load, trust)| load * trust).sum();
        let typical = if trust > 0.0 { load / trust } else { 0.0 };
        self.targets
            .iter_mut()
            .for_each(|seat| seat.set_typical(typical));
    }

    /// Forgets objects that did not come since the last call.
    pub fn forget_objects(&mut self) {
        self.objects = std::mem::take(&mut self.recent);
    }

    /// Returns the positions of a region's targets in an object's order.
    ///
    /// Where the targets of each availability zone keep all objects, the own
    /// zone's come first; else the region's targets divide the objects.
    #[must_use]
    pub fn order(
        &self,
        region: &name::Region,
        own: &name::Zone,
        layout: &topology::Topology,
        object: hash::HashKey,
    ) -> Vec<usize> {
        let zone = self.home_zone(region, own, layout, object);
        let mut ranked: Vec<(bool, f64, usize)> = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_n, seat)| layout.region(&seat.target.zone) == Some(region))
            .map(|(n, seat)| {
                let weight = f64::from(seat.target.slots);
                let rank = object.score(seat.target.id.as_str(), weight);
                (Some(&seat.target.zone) != zone, rank, n)
            })
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| b.1.total_cmp(&a.1)));
        ranked.into_iter().map(|(_far, _rank, n)| n).collect()
    }

    fn home_zone<'a>(
        &self,
        region: &'a name::Region,
        own: &'a name::Zone,
        layout: &'a topology::Topology,
        object: hash::HashKey,
    ) -> Option<&'a name::Zone> {
        let zones: Vec<&'a name::Zone> = layout.zones(region).collect();
        let count = |zone: &name::Zone| {
            let here = self.targets.iter().filter(|seat| seat.target.zone == *zone);
            here.count()
        };
        let keeps_all = |zone: &&name::Zone| self.objects.len() <= KEPT_OBJECTS * count(zone);
        if !zones.iter().all(keeps_all) {
            return None;
        }
        if zones.contains(&own) {
            return Some(own);
        }
        let rank = |zone: &&name::Zone| {
            let targets = u32::try_from(count(zone)).unwrap_or(u32::MAX);
            object.score(zone.as_str(), f64::from(targets))
        };
        zones.into_iter().max_by(|a, b| rank(a).total_cmp(&rank(b)))
    }
}
