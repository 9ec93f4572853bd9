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
    pub limits: limits::ServiceLimits,
    /// Targets in order of their names.
    pub targets: Vec<target_status::TargetStatus>,
    /// Which part of this region's requests runs in which region.
    pub split: region_split::RegionSplit,
    /// Budget of second sends.
    pub retries: retry_budget::RetryBudget,
    /// Slots that this host's requests keep busy when targets are warm.
    pub demand: meter::Meter,
    /// Demand as this host last reported it.
    pub reported_demand: f64,
    /// Longest wait at a target that a request of each rank may add to.
    pub max_waits: collections::BTreeMap<u8, std::time::Duration>,
    times: collections::HashMap<String, processing_time::ProcessingTimes>,
    active_keys: collections::HashSet<hash::HashKey>,
    recent_keys: collections::HashSet<hash::HashKey>,
}

impl Pool {
    /// Creates a pool without targets.
    #[must_use]
    pub fn new(terms: limits::ServiceLimits, repeats: retry_budget::RetryBudget) -> Self {
        Self {
            limits: terms,
            targets: Vec::new(),
            split: region_split::RegionSplit::default(),
            retries: repeats,
            demand: meter::Meter::new(DEMAND_TIME),
            reported_demand: 0.0,
            max_waits: collections::BTreeMap::new(),
            times: collections::HashMap::new(),
            active_keys: collections::HashSet::new(),
            recent_keys: collections::HashSet::new(),
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
    pub fn times(&self, route: &str) -> processing_time::ProcessingTimes {
        self.times.get(route).copied().unwrap_or_default()
    }

    /// Adds the time that a request of a route took.
    pub fn record_time(
        &mut self,
        route: &str,
        warmth: processing_time::Warmth,
        work: std::time::Duration,
    ) {
        match self.times.get_mut(route) {
            Some(pace) => pace.record(warmth, work),
            None => self
                .times
                .entry(route.to_owned())
                .or_default()
                .record(warmth, work),
        }
    }

    /// Counts a request about an object.
    pub fn record_request(
        &mut self,
        object: hash::HashKey,
        work: std::time::Duration,
        now: instant::Instant,
    ) {
        self.demand.add(work.as_secs_f64(), now);
        if self.recent_keys.len() < MOST_OBJECTS {
            self.recent_keys.insert(object);
        }
        if self.active_keys.len() < MOST_OBJECTS {
            self.active_keys.insert(object);
        }
    }

    /// Works out the load that is reckoned with at targets whose reports are old.
    pub fn update_typical_load(&mut self, now: instant::Instant) {
        let reports = || self.targets.iter().map(|seat| seat.observed_load(now));
        let trust: f64 = reports().map(|(_load, trust)| trust).sum();
        let load: f64 = reports().map(|(load, trust)| load * trust).sum();
        let typical = if trust > 0.0 { load / trust } else { 0.0 };
        self.targets
            .iter_mut()
            .for_each(|seat| seat.set_typical_load(typical));
    }

    /// Forgets objects that did not come since the last call.
    pub fn prune_keys(&mut self) {
        self.active_keys = std::mem::take(&mut self.recent_keys);
    }

    /// Returns the positions of a region's targets in an object's order.
    ///
    /// Where the targets of each availability zone keep all objects, the own
    /// zone's come first; else the region's targets divide the objects.
    #[must_use]
    pub fn preference_order(
        &self,
        region: &name::Region,
        own: &name::Zone,
        layout: &topology::Topology,
        object: hash::HashKey,
    ) -> Vec<usize> {
        let zone = self.preferred_zone(region, own, layout, object);
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

    fn preferred_zone<'a>(
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
        let keeps_all = |zone: &&name::Zone| self.active_keys.len() <= KEPT_OBJECTS * count(zone);
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
