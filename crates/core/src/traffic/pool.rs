//! The targets of one service, and each affinity key's preference order among them.

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

/// Affinity keys that one target is assumed to keep warm, a low estimate; see docs/design.
const WARM_KEYS_PER_TARGET: usize = 24;
/// Largest number of distinct affinity keys to remember.
const MAX_KEYS: usize = 4_096;
/// Time constant of the measured demand.
const DEMAND_TIME_CONSTANT: std::time::Duration = std::time::Duration::from_secs(2);

/// The targets of one service with their measured processing times and demand.
#[derive(Debug)]
pub struct Pool {
    /// Limits of the service's targets.
    pub limits: limits::ServiceLimits,
    /// Status of each target, in order of their names.
    pub targets: Vec<target_status::TargetStatus>,
    /// Shares of this region's requests that run in each region.
    pub split: region_split::RegionSplit,
    /// Budget of retries.
    pub retries: retry_budget::RetryBudget,
    /// Slots that this host's requests would keep busy at warm targets.
    pub demand: meter::Meter,
    /// Demand in slots as this host last reported it.
    pub reported_demand: f64,
    /// Longest wait at a target that requests of each priority may add to.
    pub max_waits: collections::BTreeMap<u8, std::time::Duration>,
    times: collections::HashMap<String, processing_time::ProcessingTimes>,
    /// Affinity keys with a request since the last but one call of `prune_keys`.
    active_keys: collections::HashSet<hash::HashKey>,
    /// Affinity keys with a request since the last call of `prune_keys`.
    recent_keys: collections::HashSet<hash::HashKey>,
}

impl Pool {
    /// Creates a pool without targets.
    #[must_use]
    pub fn new(limits: limits::ServiceLimits, retries: retry_budget::RetryBudget) -> Self {
        Self {
            limits,
            targets: Vec::new(),
            split: region_split::RegionSplit::default(),
            retries,
            demand: meter::Meter::new(DEMAND_TIME_CONSTANT),
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
            .binary_search_by(|status| status.target.id.cmp(id))
            .ok()
    }

    /// Returns the measured processing times of a route.
    #[must_use]
    pub fn times(&self, route: &str) -> processing_time::ProcessingTimes {
        self.times.get(route).copied().unwrap_or_default()
    }

    /// Records the processing time of a request of a route.
    pub fn record_time(
        &mut self,
        route: &str,
        warmth: processing_time::Warmth,
        processing: std::time::Duration,
    ) {
        match self.times.get_mut(route) {
            Some(times) => times.record(warmth, processing),
            None => self
                .times
                .entry(route.to_owned())
                .or_default()
                .record(warmth, processing),
        }
    }

    /// Records the affinity key of a request and its expected processing time.
    pub fn record_request(
        &mut self,
        key: hash::HashKey,
        processing: std::time::Duration,
        now: instant::Instant,
    ) {
        self.demand.add(processing.as_secs_f64(), now);
        if self.recent_keys.len() < MAX_KEYS {
            self.recent_keys.insert(key);
        }
        if self.active_keys.len() < MAX_KEYS {
            self.active_keys.insert(key);
        }
    }

    /// Recomputes the load to assume at targets whose observed load is old.
    pub fn update_typical_load(&mut self, now: instant::Instant) {
        let observations = || self.targets.iter().map(|status| status.observed_load(now));
        let trust: f64 = observations().map(|(_load, trust)| trust).sum();
        let load: f64 = observations().map(|(load, trust)| load * trust).sum();
        let typical = if trust > 0.0 { load / trust } else { 0.0 };
        self.targets
            .iter_mut()
            .for_each(|status| status.set_typical_load(typical));
    }

    /// Forgets the affinity keys that had no request since the last call.
    pub fn prune_keys(&mut self) {
        self.active_keys = std::mem::take(&mut self.recent_keys);
    }

    /// Returns the positions of a region's targets in the preference order of a key.
    ///
    /// The order is by weighted rendezvous hashing. If the targets of each availability zone
    /// can keep all active keys warm, the targets of one zone come first: this host's zone, or
    /// in another region the key's zone by rendezvous hashing. Otherwise all targets of the
    /// region divide the keys.
    #[must_use]
    pub fn preference_order(
        &self,
        region: &name::Region,
        own: &name::Zone,
        topology: &topology::Topology,
        key: hash::HashKey,
    ) -> Vec<usize> {
        let zone = self.preferred_zone(region, own, topology, key);
        let mut ranked: Vec<(bool, f64, usize)> = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_n, status)| topology.region(&status.target.zone) == Some(region))
            .map(|(n, status)| {
                let weight = f64::from(status.target.slots);
                let score = key.score(status.target.id.as_str(), weight);
                (Some(&status.target.zone) != zone, score, n)
            })
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| b.1.total_cmp(&a.1)));
        ranked
            .into_iter()
            .map(|(_is_other_zone, _score, n)| n)
            .collect()
    }

    /// Returns the zone whose targets come first, if each zone can keep all active keys warm.
    fn preferred_zone<'a>(
        &self,
        region: &'a name::Region,
        own: &'a name::Zone,
        topology: &'a topology::Topology,
        key: hash::HashKey,
    ) -> Option<&'a name::Zone> {
        let zones: Vec<&'a name::Zone> = topology.zones(region).collect();
        let count = |zone: &name::Zone| {
            let here = self
                .targets
                .iter()
                .filter(|status| status.target.zone == *zone);
            here.count()
        };
        let keeps_all_keys =
            |zone: &&name::Zone| self.active_keys.len() <= WARM_KEYS_PER_TARGET * count(zone);
        if !zones.iter().all(keeps_all_keys) {
            return None;
        }
        if zones.contains(&own) {
            return Some(own);
        }
        let score = |zone: &&name::Zone| {
            let targets = u32::try_from(count(zone)).unwrap_or(u32::MAX);
            key.score(zone.as_str(), f64::from(targets))
        };
        zones
            .into_iter()
            .max_by(|a, b| score(a).total_cmp(&score(b)))
    }
}
