//! Pool of one service's targets, as one entry host observes them.

use std::time;

use crate::catalog;
use crate::instant;
use crate::name;
use crate::record;

use super::choice;
use super::completion;
use super::ewma;
use super::locality;
use super::queue;
use super::target_query;
use super::target_status;
use super::tier;

/// Service time assumed before the first response.
const INITIAL_SERVICE_MICROS: u32 = 1_000;
/// Time for which the median and the lists of usable targets are valid.
const REFRESH_PERIOD: time::Duration = time::Duration::from_millis(100);
/// Response time to expect, in mean service times.
const RESPONSE_TIME_FACTOR: u32 = 2;
/// Smallest number of targets that are not draining, per ejected target.
const MIN_TARGETS_PER_EJECTION: usize = 2;

/// Usage of a region's slots by this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Number of requests that this host has in flight to the region's targets.
    pub in_flight: u32,
    /// Number of slots of the region's targets that accept new requests.
    pub slots: u32,
}

/// Targets of one service with the state that one entry host observed.
#[derive(Clone, Debug)]
pub struct Pool {
    targets: Vec<target_status::TargetStatus>,
    excluded: Vec<bool>,
    localities: Vec<locality::Locality>,
    /// Mean service time of all targets, in microseconds.
    mean: ewma::Ewma,
    /// Median of the targets' mean service times, in microseconds.
    median: u32,
    recent_means: Vec<u32>,
    refreshed_at: Option<instant::Instant>,
    in_flight: u32,
}

impl Pool {
    /// Creates the pool of a service, and keeps the observations of an earlier pool.
    ///
    /// A target that the earlier pool did not have begins with slow start.
    #[must_use]
    pub fn new(
        catalog: &catalog::Catalog,
        service: &name::Service,
        zone: &name::Zone,
        earlier: Option<&Self>,
        now: instant::Instant,
    ) -> Self {
        let targets: Vec<&record::Target> = catalog
            .targets
            .values()
            .filter(|target| target.service == *service)
            .collect();
        let restore = |target: &record::Target| {
            let previous = earlier.and_then(|pool| pool.find(&target.name));
            let unknown =
                || target_status::TargetStatus::new(target.name.clone(), target.slots, now);
            let mut status = match (previous, earlier) {
                (Some(previous), _) => previous.clone(),
                (None, Some(_)) => unknown().with_warm_up(now),
                (None, None) => unknown(),
            };
            status.slots = target.slots;
            status.drain.set_record(catalog.is_drained(target));
            status
        };
        let statuses: Vec<target_status::TargetStatus> =
            targets.iter().map(|target| restore(target)).collect();
        let excluded = statuses
            .iter()
            .map(|status| is_excluded(status, now))
            .collect();
        Self {
            in_flight: statuses
                .iter()
                .map(target_status::TargetStatus::in_flight)
                .sum(),
            excluded,
            targets: statuses,
            localities: locality::Locality::group(catalog, zone, &targets),
            mean: earlier.map_or_else(ewma::Ewma::default, |pool| pool.mean),
            median: earlier.map_or(INITIAL_SERVICE_MICROS, |pool| pool.median),
            recent_means: Vec::new(),
            refreshed_at: None,
        }
    }

    /// Returns the targets, in the order of the indexes of candidates.
    #[must_use]
    pub fn targets(&self) -> &[target_status::TargetStatus] {
        &self.targets
    }

    /// Returns the index of a target, `None` if the pool does not have it.
    #[must_use]
    pub fn index(&self, target: &name::Target) -> Option<u32> {
        let found = self
            .targets
            .binary_search_by(|status| status.name.cmp(target));
        found.ok().and_then(|index| u32::try_from(index).ok())
    }

    /// Returns the number of requests that this host has in flight to the service.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the mean service time of all targets, in microseconds.
    #[must_use]
    pub fn mean_time(&self) -> u32 {
        self.mean.value_or(INITIAL_SERVICE_MICROS)
    }

    /// Returns the rate at which slots become free for this host.
    ///
    /// While requests are queued, the host gets only the slots of its own
    /// requests in flight. The response time is estimated as twice the mean, as
    /// many responses take longer than the mean.
    #[must_use]
    pub fn throughput(&self) -> queue::Throughput {
        let service_time = self.mean_time();
        queue::Throughput {
            concurrency: self.in_flight.max(1),
            service_time,
            response_time: service_time.saturating_mul(RESPONSE_TIME_FACTOR),
        }
    }

    /// Chooses a target; returns the inputs of the choice with its result.
    ///
    /// `allows` returns whether the budgets for the link to a region and for its
    /// slots allow one more request. It is called for other regions only.
    pub fn choose(
        &mut self,
        query: &target_query::TargetQuery<'_>,
        allows: impl Fn(&name::Region, Usage) -> bool,
        now: instant::Instant,
    ) -> (choice::Inputs, choice::Choice) {
        self.refresh(now);
        let shift = query.shift.map(|shift| shift.state);
        let mut inputs =
            choice::Inputs::new(query.seed, query.attempt, query.remaining).with_shift(shift);
        let receiver = query
            .shift
            .filter(|shift| shift.state.moves(query.seed))
            .map(|shift| shift.to);
        if let Some(tier) = self.explore(query, now).filter(|_| receiver.is_none()) {
            inputs.tiers.push(tier);
            let choice = inputs.choose();
            return (inputs, choice);
        }
        let first = self
            .localities
            .iter()
            .position(|locality| Some(&locality.region) == receiver);
        let rest = (0..self.localities.len()).filter(|number| Some(*number) != first);
        for number in first.into_iter().chain(rest).take(choice::MAX_TIERS) {
            let mut tier = self.tier(number, query, now);
            if first == Some(number) {
                tier.nearness = tier::Nearness::Shift;
            }
            if tier.nearness == tier::Nearness::OtherRegion
                || tier.nearness == tier::Nearness::Shift
            {
                let locality = &self.localities[number];
                tier.is_allowed = allows(&locality.region, self.usage(locality));
            }
            let has_target = tier
                .pick(query.remaining, tier::SpeedFilter::ExcludeSlow)
                .is_some();
            inputs.tiers.push(tier);
            if has_target {
                break;
            }
        }
        let choice = inputs.choose();
        (inputs, choice)
    }

    /// Returns whether some target is expected to have a free slot.
    pub fn has_free_slot(
        &mut self,
        allows: impl Fn(&name::Region, Usage) -> bool,
        now: instant::Instant,
    ) -> bool {
        self.refresh(now);
        let is_allowed = |locality: &&locality::Locality| {
            locality.nearness != tier::Nearness::OtherRegion
                || allows(&locality.region, self.usage(locality))
        };
        let mut usable = self
            .localities
            .iter()
            .filter(is_allowed)
            .flat_map(|locality| &locality.usable);
        usable.any(|index| {
            self.targets[*index as usize]
                .candidate(self.median, now)
                .free_slots()
                > 0
        })
    }

    /// Returns the estimated load of a region in basis points, `None` without a load report.
    #[must_use]
    pub fn region_load(
        &self,
        region: &name::Region,
        now: instant::Instant,
    ) -> Option<super::Measurement> {
        let localities = self
            .localities
            .iter()
            .filter(|locality| locality.region == *region);
        let mut at = None;
        let (mut load, mut slots) = (0, 0);
        for index in localities.flat_map(|locality| &locality.usable) {
            let status = &self.targets[*index as usize];
            let candidate = status.candidate(self.median, now);
            load += u64::from(candidate.load());
            slots += u64::from(candidate.slots);
            at = at.max(status.reported_at());
        }
        let level = load * u64::from(super::WHOLE_BASIS_POINTS) / slots.max(1);
        at.map(|at| super::Measurement {
            level: u32::try_from(level).unwrap_or(u32::MAX),
            at,
        })
    }

    /// Records that a request is sent to a target.
    pub fn start(&mut self, index: u32, now: instant::Instant) {
        if let Some(status) = self.targets.get_mut(index as usize) {
            status.start(now);
            self.in_flight += 1;
        }
    }

    /// Records the completion of a request to a target.
    pub fn finish(
        &mut self,
        index: u32,
        completion: completion::Completion,
        report: completion::LoadReport,
        now: instant::Instant,
    ) {
        let round_trip = 2 * self.delay(index);
        let completion = match completion {
            completion::Completion::Answered(time) => {
                completion::Completion::Answered(time.saturating_sub(round_trip))
            }
            completion::Completion::Expired(time) => {
                completion::Completion::Expired(time.saturating_sub(round_trip))
            }
            other => other,
        };
        let Some(status) = self.targets.get_mut(index as usize) else {
            return;
        };
        if let completion::Completion::Answered(time) = completion {
            self.mean.update(time);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        let should_eject = status.finish(completion, report, now);
        if report.is_leaving {
            self.refreshed_at = None;
        }
        if should_eject && self.may_eject(now) {
            self.targets[index as usize].outlier.eject(now);
            self.refreshed_at = None;
        }
    }

    /// Updates the drain state of a target.
    pub fn update_drain(&mut self, index: u32, update: impl FnOnce(&mut super::Drain)) {
        if let Some(status) = self.targets.get_mut(index as usize) {
            update(&mut status.drain);
            self.refreshed_at = None;
        }
    }

    fn find(&self, target: &name::Target) -> Option<&target_status::TargetStatus> {
        self.index(target)
            .map(|index| &self.targets[index as usize])
    }

    /// Returns whether at most half of the targets that are not draining would be ejected.
    fn may_eject(&self, now: instant::Instant) -> bool {
        let remaining = || {
            self.targets
                .iter()
                .filter(|status| !status.drain.is_draining())
        };
        let ejected = remaining()
            .filter(|status| status.outlier.is_ejected(now))
            .count();
        (ejected + 1) * MIN_TARGETS_PER_EJECTION <= remaining().count()
    }

    fn usage(&self, locality: &locality::Locality) -> Usage {
        let usable = || {
            locality
                .usable
                .iter()
                .map(|index| &self.targets[*index as usize])
        };
        Usage {
            in_flight: usable().map(target_status::TargetStatus::in_flight).sum(),
            slots: usable().map(|status| status.slots).sum(),
        }
    }

    fn delay(&self, index: u32) -> u64 {
        let locality = self
            .localities
            .iter()
            .find(|locality| locality.targets.contains(&index));
        locality.map_or(0, |locality| u64::from(locality.delay))
    }

    fn tier(
        &self,
        number: usize,
        query: &target_query::TargetQuery<'_>,
        now: instant::Instant,
    ) -> tier::Tier {
        let locality = &self.localities[number];
        let number = u8::try_from(number).unwrap_or(u8::MAX);
        let usable = u32::try_from(locality.usable.len()).unwrap_or(u32::MAX);
        let mut tier = tier::Tier {
            nearness: locality.nearness,
            number,
            delay: locality.delay,
            usable,
            is_allowed: true,
            ..tier::Tier::default()
        };
        for position in query.seed.positions(query.attempt, number, usable) {
            let index = locality.usable[position as usize];
            let mut candidate = self.targets[index as usize].candidate(self.median, now);
            candidate.index = index;
            candidate.position = position;
            candidate.is_tried = query.tried.contains(&index);
            tier.drawn.push(candidate);
        }
        tier
    }

    /// Returns the tier of the region's other zones for the few requests that explore it.
    ///
    /// Without exploration the host has no response times to compare its own
    /// zone's targets with, and can't detect that they are slow.
    fn explore(
        &self,
        query: &target_query::TargetQuery<'_>,
        now: instant::Instant,
    ) -> Option<tier::Tier> {
        let has_nearness = |number: usize, nearness| {
            self.localities
                .get(number)
                .is_some_and(|locality| locality.nearness == nearness)
        };
        let has_both = has_nearness(0, tier::Nearness::SameZone)
            && has_nearness(1, tier::Nearness::SameRegion);
        if !has_both || !query.seed.explores() {
            return None;
        }
        let tier = self.tier(1, query, now);
        let has_target = tier
            .pick(query.remaining, tier::SpeedFilter::ExcludeSlow)
            .is_some();
        has_target.then_some(tier)
    }

    /// Updates the median service time and the lists of usable targets.
    fn refresh(&mut self, now: instant::Instant) {
        if self
            .refreshed_at
            .is_some_and(|at| now.since(at) < REFRESH_PERIOD)
        {
            return;
        }
        self.refreshed_at = Some(now);
        for (status, excluded) in self.targets.iter_mut().zip(&mut self.excluded) {
            let was_excluded = *excluded;
            *excluded = is_excluded(status, now);
            if was_excluded && !*excluded {
                status.start_warm_up(now);
            }
        }
        self.recent_means.clear();
        self.recent_means.extend(
            self.targets
                .iter()
                .filter_map(|status| status.recent_mean(now)),
        );
        self.recent_means.sort_unstable();
        let middle = self.recent_means.len().saturating_sub(1) / 2;
        self.median = self
            .recent_means
            .get(middle)
            .copied()
            .unwrap_or(INITIAL_SERVICE_MICROS);
        for locality in &mut self.localities {
            let targets = locality.targets.iter().copied();
            locality.usable.clear();
            locality
                .usable
                .extend(targets.filter(|index| !self.excluded[*index as usize]));
        }
    }
}

fn is_excluded(status: &target_status::TargetStatus, now: instant::Instant) -> bool {
    status.drain.is_draining() || status.outlier.is_ejected(now)
}
