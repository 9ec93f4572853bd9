//! What an entry host knows of one service's targets.

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

const FIRST_SERVICE: u32 = 1_000;
const SWEEP: time::Duration = time::Duration::from_millis(100);
const TAIL: u32 = 2;
const EJECTED_PART: usize = 2;

/// How much of a region's slots this host uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Requests of this host that are on the region's targets.
    pub in_flight: u32,
    /// Slots of the region's targets that may get new work.
    pub slots: u32,
}

/// The targets of one service, as one entry host sees them.
#[derive(Clone, Debug)]
pub struct Pool {
    known: Vec<target_status::TargetStatus>,
    out: Vec<bool>,
    places: Vec<locality::Locality>,
    mean: ewma::Ewma,
    usual: u32,
    paces: Vec<u32>,
    swept: Option<instant::Instant>,
    own: u32,
}

impl Pool {
    /// Creates the pool of a service, keeping what an earlier pool knew.
    ///
    /// Targets that an earlier pool did not know have to warm up.
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
        let recall = |target: &record::Target| {
            let old = earlier.and_then(|pool| pool.find(&target.name));
            let fresh = || target_status::TargetStatus::new(target.name.clone(), target.slots, now);
            let mut known = match (old, earlier) {
                (Some(old), _) => old.clone(),
                (None, Some(_)) => fresh().with_warm_up(now),
                (None, None) => fresh(),
            };
            known.slots = target.slots;
            known.drain.set_record(catalog.is_drained(target));
            known
        };
        let known: Vec<target_status::TargetStatus> =
            targets.iter().map(|target| recall(target)).collect();
        let out = known.iter().map(|known| is_out(known, now)).collect();
        Self {
            own: known
                .iter()
                .map(target_status::TargetStatus::in_flight)
                .sum(),
            out,
            known,
            places: locality::Locality::group(catalog, zone, &targets),
            mean: earlier.map_or_else(ewma::Ewma::default, |pool| pool.mean),
            usual: earlier.map_or(FIRST_SERVICE, |pool| pool.usual),
            paces: Vec::new(),
            swept: None,
        }
    }

    /// Returns the targets, in the order that candidates index.
    #[must_use]
    pub fn targets(&self) -> &[target_status::TargetStatus] {
        &self.known
    }

    /// Returns the index of a target.
    #[must_use]
    pub fn index(&self, target: &name::Target) -> Option<u32> {
        let found = self.known.binary_search_by(|known| known.name.cmp(target));
        found.ok().and_then(|index| u32::try_from(index).ok())
    }

    /// Returns this host's requests that are on the service's targets.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.own
    }

    /// Returns the mean time in which the service answers, in microseconds.
    #[must_use]
    pub fn mean_time(&self) -> u32 {
        self.mean.value_or(FIRST_SERVICE)
    }

    /// Returns how fast this host gets slots: while requests wait, its own are all it gets.
    ///
    /// An answer is reckoned at twice the mean, as many take longer than it.
    #[must_use]
    pub fn throughput(&self) -> queue::Throughput {
        let service = self.mean_time();
        queue::Throughput {
            concurrency: self.own.max(1),
            service_time: service,
            response_time: service.saturating_mul(TAIL),
        }
    }

    /// Chooses a target, and returns what the choice depended on.
    ///
    /// `allows` states whether the budgets of the way to a region, and of its
    /// slots, allow one more request; it is asked of other regions only.
    pub fn choose(
        &mut self,
        ask: &target_query::TargetQuery<'_>,
        allows: impl Fn(&name::Region, Usage) -> bool,
        now: instant::Instant,
    ) -> (choice::Inputs, choice::Choice) {
        self.sweep(now);
        let shift = ask.shift.map(|shift| shift.state);
        let mut inputs =
            choice::Inputs::new(ask.seed, ask.attempt, ask.remaining).with_shift(shift);
        let moved = ask
            .shift
            .filter(|shift| shift.state.moves(ask.seed))
            .map(|shift| shift.to);
        if let Some(tier) = self.explore(ask, now).filter(|_| moved.is_none()) {
            inputs.tiers.push(tier);
            let choice = inputs.choose();
            return (inputs, choice);
        }
        let first = self.places.iter().position(|p| Some(&p.region) == moved);
        let rest = (0..self.places.len()).filter(|number| Some(*number) != first);
        for number in first.into_iter().chain(rest).take(choice::MAX_TIERS) {
            let mut tier = self.tier(number, ask, now);
            if first == Some(number) {
                tier.nearness = tier::Nearness::Shift;
            }
            if tier.nearness == tier::Nearness::OtherRegion
                || tier.nearness == tier::Nearness::Shift
            {
                let place = &self.places[number];
                tier.is_allowed = allows(&place.region, self.usage(place));
            }
            let is_found = tier
                .pick(ask.remaining, tier::SpeedFilter::ExcludeSlow)
                .is_some();
            inputs.tiers.push(tier);
            if is_found {
                break;
            }
        }
        let choice = inputs.choose();
        (inputs, choice)
    }

    /// Returns whether some target is believed to have room for one more request.
    pub fn has_free_slot(
        &mut self,
        allows: impl Fn(&name::Region, Usage) -> bool,
        now: instant::Instant,
    ) -> bool {
        self.sweep(now);
        let is_open = |place: &&locality::Locality| {
            place.nearness != tier::Nearness::OtherRegion
                || allows(&place.region, self.usage(place))
        };
        let mut usable = self.places.iter().filter(is_open).flat_map(|p| &p.usable);
        usable.any(|index| {
            self.known[*index as usize]
                .candidate(self.usual, now)
                .free_slots()
                > 0
        })
    }

    /// Returns the load of a region's targets by what this host knows, none without a report.
    #[must_use]
    pub fn region_load(
        &self,
        region: &name::Region,
        now: instant::Instant,
    ) -> Option<super::Measurement> {
        let places = self.places.iter().filter(|place| place.region == *region);
        let mut at = None;
        let (mut load, mut slots) = (0, 0);
        for index in places.flat_map(|place| &place.usable) {
            let known = &self.known[*index as usize];
            let candidate = known.candidate(self.usual, now);
            load += u64::from(candidate.load());
            slots += u64::from(candidate.slots);
            at = at.max(known.reported_at());
        }
        let level = load * u64::from(super::WHOLE_BASIS_POINTS) / slots.max(1);
        at.map(|at| super::Measurement {
            level: u32::try_from(level).unwrap_or(u32::MAX),
            at,
        })
    }

    /// Counts a request that is sent to a target.
    pub fn start(&mut self, index: u32, now: instant::Instant) {
        if let Some(known) = self.known.get_mut(index as usize) {
            known.start(now);
            self.own += 1;
        }
    }

    /// Counts the end of an exchange with a target.
    pub fn finish(
        &mut self,
        index: u32,
        end: completion::Completion,
        word: completion::LoadReport,
        now: instant::Instant,
    ) {
        let way = 2 * self.delay(index);
        let end = match end {
            completion::Completion::Answered(time) => {
                completion::Completion::Answered(time.saturating_sub(way))
            }
            completion::Completion::Expired(time) => {
                completion::Completion::Expired(time.saturating_sub(way))
            }
            other => other,
        };
        let Some(known) = self.known.get_mut(index as usize) else {
            return;
        };
        if let completion::Completion::Answered(time) = end {
            self.mean.update(time);
        }
        self.own = self.own.saturating_sub(1);
        let is_failing = known.finish(end, word, now);
        if word.is_leaving {
            self.swept = None;
        }
        if is_failing && self.may_eject(now) {
            self.known[index as usize].outlier.eject(now);
            self.swept = None;
        }
    }

    /// Changes what is known of a target's leaving.
    pub fn update_drain(&mut self, index: u32, change: impl FnOnce(&mut super::Drain)) {
        if let Some(known) = self.known.get_mut(index as usize) {
            change(&mut known.drain);
            self.swept = None;
        }
    }

    fn find(&self, target: &name::Target) -> Option<&target_status::TargetStatus> {
        self.index(target).map(|index| &self.known[index as usize])
    }

    /// Returns whether less than half of the targets that stay are ejected.
    fn may_eject(&self, now: instant::Instant) -> bool {
        let staying = || self.known.iter().filter(|k| !k.drain.is_draining());
        let ejected = staying().filter(|k| k.outlier.is_ejected(now)).count();
        (ejected + 1) * EJECTED_PART <= staying().count()
    }

    fn usage(&self, place: &locality::Locality) -> Usage {
        let usable = || {
            place
                .usable
                .iter()
                .map(|index| &self.known[*index as usize])
        };
        Usage {
            in_flight: usable().map(target_status::TargetStatus::in_flight).sum(),
            slots: usable().map(|known| known.slots).sum(),
        }
    }

    fn delay(&self, index: u32) -> u64 {
        let place = self.places.iter().find(|p| p.targets.contains(&index));
        place.map_or(0, |place| u64::from(place.delay))
    }

    fn tier(
        &self,
        number: usize,
        ask: &target_query::TargetQuery<'_>,
        now: instant::Instant,
    ) -> tier::Tier {
        let place = &self.places[number];
        let number = u8::try_from(number).unwrap_or(u8::MAX);
        let usable = u32::try_from(place.usable.len()).unwrap_or(u32::MAX);
        let mut tier = tier::Tier {
            nearness: place.nearness,
            number,
            delay: place.delay,
            usable,
            is_allowed: true,
            ..tier::Tier::default()
        };
        for position in ask.seed.positions(ask.attempt, number, usable) {
            let index = place.usable[position as usize];
            let mut candidate = self.known[index as usize].candidate(self.usual, now);
            candidate.index = index;
            candidate.position = position;
            candidate.is_tried = ask.tried.contains(&index);
            tier.drawn.push(candidate);
        }
        tier
    }

    /// Returns the region's other zones for the few requests that try them.
    ///
    /// Without these the host could not tell that its own zone's targets are slow.
    fn explore(
        &self,
        ask: &target_query::TargetQuery<'_>,
        now: instant::Instant,
    ) -> Option<tier::Tier> {
        let is_near = |number: usize, nearness| {
            self.places
                .get(number)
                .is_some_and(|place| place.nearness == nearness)
        };
        let has_both =
            is_near(0, tier::Nearness::SameZone) && is_near(1, tier::Nearness::SameRegion);
        if !has_both || !ask.seed.explores() {
            return None;
        }
        let tier = self.tier(1, ask, now);
        let is_found = tier
            .pick(ask.remaining, tier::SpeedFilter::ExcludeSlow)
            .is_some();
        is_found.then_some(tier)
    }

    /// Brings the lists of usable targets up to date.
    fn sweep(&mut self, now: instant::Instant) {
        if self.swept.is_some_and(|at| now.since(at) < SWEEP) {
            return;
        }
        self.swept = Some(now);
        for (known, out) in self.known.iter_mut().zip(&mut self.out) {
            let was_out = *out;
            *out = is_out(known, now);
            if was_out && !*out {
                known.start_warm_up(now);
            }
        }
        self.paces.clear();
        self.paces
            .extend(self.known.iter().filter_map(|known| known.recent_mean(now)));
        self.paces.sort_unstable();
        let median = self.paces.len().saturating_sub(1) / 2;
        self.usual = self.paces.get(median).copied().unwrap_or(FIRST_SERVICE);
        for place in &mut self.places {
            let targets = place.targets.iter().copied();
            place.usable.clear();
            place
                .usable
                .extend(targets.filter(|index| !self.out[*index as usize]));
        }
    }
}

fn is_out(known: &target_status::TargetStatus, now: instant::Instant) -> bool {
    known.drain.is_draining() || known.outlier.is_ejected(now)
}
