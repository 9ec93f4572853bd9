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

    /// Returns the positions of a region's targets in the preference order of a key.
    ///
    /// All targets of the region divide the keys, by weighted rendezvous hashing. A key's
    /// requests from all availability zones meet at one target, so that each key is cold once in a
    /// region, not once in each zone.
    #[must_use]
    pub fn preference_order(
        &self,
        region: &name::Region,
        topology: &topology::Topology,
        key: hash::HashKey,
    ) -> Vec<usize> {
        let mut ranked: Vec<(f64, usize)> = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_n, status)| topology.region(&status.target.zone) == Some(region))
            .map(|(n, status)| {
                let weight = f64::from(status.target.slots);
                (key.score(status.target.id.as_str(), weight), n)
            })
            .collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ranked.into_iter().map(|(_score, n)| n).collect()
    }
}
