//! Everything that one host knows, and its decisions on requests.

use std::collections;
use std::sync;
use std::time;

use crate::instant;
use crate::kind;
use crate::name;
use crate::steer;

use super::candidate;
use super::cold_start;
use super::crashes;
use super::fleet;
use super::fleet_view;
use super::hash;
use super::max_wait;
use super::placement;
use super::pool;
use super::processing_time;
use super::quota;
use super::quotas;
use super::region_split;
use super::report;
use super::request;
use super::retry_budget;
use super::round_robin;
use super::rules;
use super::spillover;
use super::target;
use super::target_status;
use super::topology;
use super::wait_queue;
use super::zone_summary;

/// Part of its objective for which a request may wait for room; a refusal later than that is late.
const WAIT_PARTS: u32 = 8;
/// Requests that wait at one service at most.
const MOST_WAITING: usize = 64;
/// Requests of the line that are tried at each chance.
const TRIED_AT_ONCE: usize = 8;
/// Targets of the first region that are considered in an object's order.
const NEAR_CHOICES: usize = 4;
/// Targets of each further region that are considered.
const FAR_CHOICES: usize = 2;
/// Way to a target and back that is reckoned with before any connection to its zone.
const FIRST_WAY: time::Duration = time::Duration::from_millis(10);
/// Time after which objects that came no more are forgotten.
const OBJECT_TIME: time::Duration = time::Duration::from_secs(10);
/// Part of a target's slots up to which it takes requests of other targets' objects that come late.
const SPARE_PART: f64 = 0.5;
/// Demand per slot that is reckoned with besides the measured one, spread evenly over the zones.
const EVEN_DEMAND: f64 = 0.15;
/// Demand per slot that is reckoned with at least, so that a plan is there before the first requests.
const LEAST_DEMAND: f64 = 0.6;
/// Pause of a caller that is refused, in parts of the objective.
const PAUSE_PART: f64 = 0.5;
/// Objectives over which refused callers spread their return.
const SPREAD_PARTS: f64 = 1.0;
/// Objectives by which a failing target's answers are reckoned to be later.
const FAILING_PARTS: f64 = 2.0;

/// Who this host is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The host.
    pub host: name::Host,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Its region.
    pub region: name::Region,
}

/// Limits that all hosts keep together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Second sends for each request to a service.
    pub ratio: f64,
    /// Second sends in each window besides.
    pub allowance: f64,
}

/// Everything that one host knows, and its decisions on requests.
#[derive(Debug)]
pub struct Dispatcher<T> {
    identity: Identity,
    topology: topology::Topology,
    retry_limits: RetryLimits,
    rules: Option<sync::Arc<rules::Rules>>,
    closed: collections::BTreeSet<name::Zone>,
    pools: collections::HashMap<name::Service, pool::Pool>,
    queues: collections::HashMap<name::Service, wait_queue::WaitQueue<T>>,
    quotas: quotas::Quotas,
    round_robins: collections::HashMap<String, round_robin::RoundRobin>,
    round_trips: collections::HashMap<name::Zone, steer::Ewma>,
    fleet: fleet::Fleet,
    crashes: crashes::Crashes,
    spillover: spillover::Spillover,
    keys_pruned_at: instant::Instant,
}

impl<T> Dispatcher<T> {
    /// Creates the knowledge of a host that has heard nothing.
    #[must_use]
    pub fn new(identity: Identity, layout: topology::Topology, limits: RetryLimits) -> Self {
        let fleet = fleet::Fleet::new(identity.host.clone());
        Self {
            identity,
            topology: layout,
            retry_limits: limits,
            rules: None,
            closed: collections::BTreeSet::new(),
            pools: collections::HashMap::new(),
            queues: collections::HashMap::new(),
            quotas: quotas::Quotas::default(),
            round_robins: collections::HashMap::new(),
            round_trips: collections::HashMap::new(),
            fleet,
            crashes: crashes::Crashes::default(),
            spillover: spillover::Spillover::default(),
            keys_pruned_at: instant::Instant::ORIGIN,
        }
    }

    /// Returns the rules in force.
    #[must_use]
    pub const fn rules(&self) -> Option<&sync::Arc<rules::Rules>> {
        self.rules.as_ref()
    }

    /// Returns the other hosts.
    #[must_use]
    pub const fn fleet(&self) -> &fleet::Fleet {
        &self.fleet
    }

    /// Returns the zones and regions.
    #[must_use]
    pub const fn topology(&self) -> &topology::Topology {
        &self.topology
    }

    /// Returns whether a request with a fingerprint is held back, as targets crashed under it.
    #[must_use]
    pub fn is_quarantined(&self, print: u64, now: instant::Instant) -> bool {
        self.crashes.is_quarantined(print, now)
    }

    /// Changes the limits that all hosts keep together.
    pub const fn set_limits(&mut self, limits: RetryLimits) {
        self.retry_limits = limits;
    }

    /// Puts rules in force, unless newer ones are; returns whether they are in force now.
    pub fn set_rules(&mut self, rules: sync::Arc<rules::Rules>, now: instant::Instant) -> bool {
        let newest = self.rules.as_ref().map(|rules| rules.version);
        if newest.is_some_and(|version| version >= rules.version) {
            return false;
        }
        let hosts = self.host_count(now);
        for (service, terms) in &rules.services {
            let limits = self.retry_limits;
            let pool = self.pools.entry(service.clone()).or_insert_with(|| {
                let budget = retry_budget::RetryBudget::new(limits.ratio, limits.allowance, hosts);
                pool::Pool::new(*terms, budget)
            });
            pool.limits = *terms;
        }
        self.pools
            .retain(|service, _pool| rules.services.contains_key(service));
        self.quotas.set_rules(&rules, self.peer_counts(now), now);
        self.rules = Some(rules);
        self.refresh(now);
        true
    }

    /// Takes in every target that the store lists now.
    pub fn set_targets(&mut self, targets: &[target::Target], now: instant::Instant) {
        for (service, pool) in &mut self.pools {
            let mut kept: Vec<target_status::TargetStatus> = std::mem::take(&mut pool.targets);
            let of_service = targets.iter().filter(|target| target.service == *service);
            for target in of_service {
                match kept.iter().position(|seat| seat.target.id == target.id) {
                    Some(position) => {
                        let mut seat = kept.swap_remove(position);
                        if seat.target != *target {
                            seat.update(target.clone(), now);
                        }
                        pool.targets.push(seat);
                    }
                    None => pool
                        .targets
                        .push(target_status::TargetStatus::new(target.clone(), now)),
                }
            }
            pool.targets.sort_by(|a, b| a.target.id.cmp(&b.target.id));
        }
        self.refresh(now);
    }

    /// Takes in the availability zones whose targets are to get nothing.
    pub fn set_closed(&mut self, zones: &collections::BTreeSet<name::Zone>, now: instant::Instant) {
        let before = std::mem::take(&mut self.closed);
        for zone in before.difference(zones) {
            for pool in self.pools.values_mut() {
                let warmup = pool.limits.warmup;
                let back = pool.targets.iter_mut().filter(|s| s.target.zone == *zone);
                back.for_each(|seat| seat.cold_start.extend(warmup, now));
            }
        }
        self.closed.clone_from(zones);
        self.refresh(now);
    }

    /// Takes in another host's report.
    pub fn apply_report(
        &mut self,
        report: report::Report,
        now: instant::Instant,
    ) -> fleet::MemberChange {
        self.apply_crashes(&report.crashes, now);
        self.fleet.apply_report(report, now)
    }

    /// Takes in what a host tells of itself without its demand.
    pub fn apply_member(
        &mut self,
        member: &report::Member,
        now: instant::Instant,
    ) -> fleet::MemberChange {
        self.fleet.apply_member(member, now)
    }

    /// Takes in what a relay tells of its zone; returns each host with what changed of it.
    pub fn apply_summary(
        &mut self,
        summary: zone_summary::ZoneSummary,
        now: instant::Instant,
    ) -> Vec<(report::Member, fleet::MemberChange)> {
        self.apply_crashes(&summary.crashes, now);
        self.fleet.apply_summary(summary, now)
    }

    /// Takes in what a relay of the own zone tells; returns each host with what changed of it.
    pub fn apply_view(
        &mut self,
        view: fleet_view::FleetView,
        now: instant::Instant,
    ) -> Vec<(report::Member, fleet::MemberChange)> {
        self.apply_crashes(&view.crashes, now);
        self.fleet.apply_view(view, now)
    }

    fn apply_crashes(&mut self, deaths: &[(u64, name::Target)], now: instant::Instant) {
        for (print, target) in deaths {
            self.crashes.add(*print, target, now);
        }
    }

    /// Returns this host's report to the others.
    pub fn report(&mut self, member: report::Member, now: instant::Instant) -> report::Report {
        let pools = self.pools.iter_mut();
        let services = pools.map(|(service, pool)| {
            pool.reported_demand = pool.demand.rate(now);
            (hash::digest(service.as_str()), to_f32(pool.reported_demand))
        });
        let demand = report::Demand {
            services: services.collect(),
            accounts: self.quotas.report(now),
            loads: Some(self.target_loads()),
        };
        let own = &self.identity;
        let is_blind = self.fleet.is_view_needed(&own.zone, &own.host, now);
        let report = report::Report {
            member,
            demand,
            crashes: self.crashes.recent(now),
            is_view_needed: is_blind,
        };
        self.fleet.set_own_report(&report);
        report
    }

    fn target_loads(&self) -> Vec<(u32, u16)> {
        let seats = self.pools.values().flat_map(|pool| &pool.targets);
        let busy = seats.filter(|seat| seat.own_requests() > 0);
        busy.map(|seat| {
            let own = u16::try_from(seat.own_requests()).unwrap_or(u16::MAX);
            (hash::digest(seat.target.id.as_str()), own)
        })
        .collect()
    }

    fn apply_target_loads(&mut self, now: instant::Instant) {
        let mut loads: collections::HashMap<u32, f64> = collections::HashMap::new();
        let own = &self.identity.zone;
        let told =
            self.fleet
                .remote_demand(own, &self.topology, fleet::Fleet::LIVENESS_TIMEOUT, now);
        for told in told {
            for (target, requests) in told.demand.loads.iter().flatten() {
                *loads.entry(*target).or_default() += f64::from(*requests);
            }
        }
        let seats = self.pools.values_mut().flat_map(|pool| &mut pool.targets);
        for seat in seats {
            let digest = hash::digest(seat.target.id.as_str());
            seat.set_reported_requests(loads.get(&digest).copied().unwrap_or(0.0), now);
        }
    }

    /// Works out shares, plans and rates from what the hosts told; called a few times a second.
    pub fn refresh(&mut self, now: instant::Instant) {
        self.fleet.expire(now);
        let hosts = self.host_count(now);
        let scene = quotas::Scene {
            identity: &self.identity,
            layout: &self.topology,
            fleet: &self.fleet,
            crowd: self.peer_counts(now),
        };
        self.quotas.divide(scene, now);
        self.apply_target_loads(now);
        self.set_cold_rates(now);
        self.update_splits(now);
        let allowance = self.retry_limits.allowance;
        for pool in self.pools.values_mut() {
            pool.retries.set_hosts(allowance, hosts);
            pool.update_typical_load(now);
        }
        if now.since(self.keys_pruned_at) >= OBJECT_TIME {
            self.keys_pruned_at = now;
            self.pools.values_mut().for_each(pool::Pool::prune_keys);
        }
    }

    /// Chooses the service that runs a request of a route.
    pub fn choose_service(&mut self, route: &super::Route) -> Option<name::Service> {
        if let [part] = &*route.split {
            return Some(part.service.clone());
        }
        let turns = match self.round_robins.get_mut(&route.name) {
            Some(turns) => turns,
            None => self.round_robins.entry(route.name.clone()).or_default(),
        };
        let position = turns.next(&route.split)?;
        Some(route.split[position].service.clone())
    }

    /// Returns the accounts' shares, to charge requests against them.
    pub const fn quotas_mut(&mut self) -> &mut quotas::Quotas {
        &mut self.quotas
    }

    /// Counts a request that is to be placed for the first time.
    pub fn record_arrival(&mut self, ask: &request::Request, now: instant::Instant) {
        if let Some(pool) = self.pools.get_mut(&ask.service) {
            let work = pool
                .times(&ask.route.name)
                .expected(processing_time::Warmth::Known, ask.route.objective);
            pool.record_request(ask.affinity_key, work, now);
            pool.retries.deposit();
        }
    }

    /// Takes one second send to a service from the budget; returns whether it may be made.
    pub fn take_retry(&mut self, service: &name::Service) -> bool {
        let pool = self.pools.get_mut(service);
        pool.is_some_and(|pool| pool.retries.withdraw())
    }

    /// Decides where a request goes now; a chosen target counts it as sent.
    pub fn place(&mut self, ask: &request::Request, now: instant::Instant) -> placement::Placement {
        let Some(pool) = self.pools.get(&ask.service) else {
            return placement::Placement::Refuse(self.refusal(ask, kind::ErrorKind::NoTarget, now));
        };
        let order = self.candidates(pool, ask, now);
        let found = self.select_target(pool, ask, &order, now);
        let Some(choice) = found.candidate else {
            let kind = if found.is_any_usable {
                kind::ErrorKind::Overloaded
            } else {
                kind::ErrorKind::NoTarget
            };
            return self.wait_or_refuse(ask, kind, now);
        };
        let Some(pool) = self.pools.get_mut(&ask.service) else {
            return self.wait_or_refuse(ask, kind::ErrorKind::NoTarget, now);
        };
        let planned = order
            .first()
            .map(|first| pool.targets[*first].target.zone.clone());
        let seat = &mut pool.targets[choice.position];
        let region = self.topology.region(&seat.target.zone);
        let is_stray = planned.is_some_and(|zone| self.topology.region(&zone) != region);
        self.spillover.record(is_stray, now);
        let load = seat.load(now);
        seat.record_send(now);
        placement::Placement::Send(placement::Pick {
            service: ask.service.clone(),
            target: seat.target.id.clone(),
            address: seat.target.address,
            zone: seat.target.zone.clone(),
            preference: choice.preference,
            warmth: choice.warmth,
            load,
            expected_latency: choice.latency,
            chosen_at: now,
        })
    }

    /// Lets a request wait for room; returns the request that the line's bound pushes out.
    pub fn enqueue(
        &mut self,
        ask: request::Request,
        until: instant::Instant,
        item: T,
    ) -> Option<placement::Dequeued<T>> {
        let line = self.queues.entry(ask.service.clone());
        let line = line.or_insert_with(|| wait_queue::WaitQueue::new(MOST_WAITING));
        let out = line.push(wait_queue::Waiter {
            request: ask,
            deadline: until,
            item,
        })?;
        let refusal = self.refusal(&out.request, kind::ErrorKind::Overloaded, out.deadline);
        Some(placement::Dequeued {
            request: out.request,
            item: out.item,
            placement: placement::Placement::Refuse(refusal),
        })
    }

    /// Returns whether any request waits.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.queues.values().any(|line| !line.is_empty())
    }

    /// Takes out of the lines who can be placed now, or has waited long enough.
    pub fn dequeue(&mut self, now: instant::Instant) -> Vec<placement::Dequeued<T>> {
        let mut woken = Vec::new();
        let services: Vec<name::Service> = self
            .queues
            .iter()
            .filter(|(_service, line)| !line.is_empty())
            .map(|(service, _line)| service.clone())
            .collect();
        for service in services {
            let waiters = self
                .queues
                .get_mut(&service)
                .map_or_else(Vec::new, wait_queue::WaitQueue::drain);
            let mut tries = TRIED_AT_ONCE;
            for waiter in waiters {
                let is_over = now >= waiter.deadline;
                let placing = if is_over || tries > 0 {
                    self.place(&waiter.request, now)
                } else {
                    placement::Placement::Wait(waiter.deadline)
                };
                match placing {
                    placement::Placement::Wait(_until) if !is_over => {
                        tries = tries.saturating_sub(1);
                        let line = self.queues.get_mut(&service);
                        let _within = line.and_then(|line| line.push(waiter));
                    }
                    placement::Placement::Wait(_until) => {
                        let kind = kind::ErrorKind::Overloaded;
                        let refusal = self.refusal(&waiter.request, kind, now);
                        woken.push(placement::Dequeued {
                            request: waiter.request,
                            item: waiter.item,
                            placement: placement::Placement::Refuse(refusal),
                        });
                    }
                    placing => woken.push(placement::Dequeued {
                        request: waiter.request,
                        item: waiter.item,
                        placement: placing,
                    }),
                }
            }
        }
        woken
    }

    /// Takes in how an attempt ended.
    pub fn record_result(
        &mut self,
        ask: &request::Request,
        pick: &placement::Pick,
        ending: placement::AttemptResult,
        now: instant::Instant,
    ) {
        match ending {
            placement::AttemptResult::Disconnected => {
                self.crashes
                    .record_disconnect(ask.fingerprint, &pick.target, now)
            }
            placement::AttemptResult::ConnectFailed => {
                self.crashes.record_refused(&pick.target, now)
            }
            _ => {}
        }
        let way = self.round_trip(&pick.zone);
        let work = now.since(pick.chosen_at).saturating_sub(way);
        let Some(pool) = self.pools.get_mut(&pick.service) else {
            return;
        };
        let warmup = pool.limits.warmup;
        let Some(position) = pool.position(&pick.target) else {
            return;
        };
        let work = pool.targets[position].without_queueing(work, pick.load);
        if matches!(ending, placement::AttemptResult::Answered(_)) {
            pool.record_time(&ask.route.name, pick.warmth, work);
            pool.targets[position].record_key(ask.affinity_key);
        }
        pool.targets[position].record_result(ending, work, warmup, now);
    }

    /// Adds the time that a connection to an availability zone took.
    pub fn record_connect_time(&mut self, zone: &name::Zone, took: time::Duration) {
        let micros = u64::from(processing_time::micros(took));
        match self.round_trips.get_mut(zone) {
            Some(mean) => mean.update(micros),
            None => self
                .round_trips
                .entry(zone.clone())
                .or_default()
                .update(micros),
        }
    }

    /// Returns the refusal of a request that cannot be served now.
    #[must_use]
    pub fn refusal(
        &self,
        ask: &request::Request,
        kind: kind::ErrorKind,
        now: instant::Instant,
    ) -> placement::Refusal {
        let spread = hash::HashKey::new("pause", &now.as_micros().to_le_bytes());
        let parts = PAUSE_PART + SPREAD_PARTS * spread.fraction(ask.service.as_str());
        placement::Refusal {
            kind,
            pause: ask.route.objective.mul_f64(parts),
        }
    }

    fn wait_or_refuse(
        &self,
        ask: &request::Request,
        kind: kind::ErrorKind,
        now: instant::Instant,
    ) -> placement::Placement {
        let until = ask.arrived + ask.route.objective / WAIT_PARTS;
        let line = self.queues.get(&ask.service);
        let has_room = line.is_none_or(|line| line.has_room(ask.priority()));
        if now < until && until < ask.deadline && has_room {
            return placement::Placement::Wait(until);
        }
        placement::Placement::Refuse(self.refusal(ask, kind, now))
    }

    /// Returns the targets that a request may go to, in its order.
    ///
    /// Regions other than the planned one are left out while too many requests
    /// went astray already, unless the planned one has no target to use.
    fn candidates(
        &self,
        pool: &pool::Pool,
        ask: &request::Request,
        now: instant::Instant,
    ) -> Vec<usize> {
        let mut chosen: Vec<usize> = Vec::new();
        let may_stray = self.spillover.allows_more(now);
        let regions = pool
            .split
            .region_order(&self.identity.region, ask.affinity_key);
        let allowed = regions
            .into_iter()
            .filter(|region| ask.allows_region(region));
        for (n, region) in allowed.enumerate() {
            let order = pool.preference_order(
                region,
                &self.identity.zone,
                &self.topology,
                ask.affinity_key,
            );
            let usable = order.into_iter().filter(|position| {
                let target = &pool.targets[*position].target;
                target.state == target::TargetState::Ready
                    && !self.closed.contains(&target.zone)
                    && !ask.tried.contains(&target.id)
            });
            let has_planned = chosen
                .iter()
                .any(|position| !pool.targets[*position].is_excluded(now));
            if n > 0 && has_planned && !may_stray {
                break;
            }
            let most = if n == 0 { NEAR_CHOICES } else { FAR_CHOICES };
            chosen.extend(usable.take(most));
        }
        chosen
    }

    fn select_target(
        &self,
        pool: &pool::Pool,
        ask: &request::Request,
        order: &[usize],
        now: instant::Instant,
    ) -> candidate::Found {
        let mut found = candidate::Found::default();
        let mut own: Option<candidate::Candidate> = None;
        let mut spare: Option<candidate::Candidate> = None;
        let mut last: Option<candidate::Candidate> = None;
        let pace = pool.times(&ask.route.name);
        let patience = pool.max_waits.get(&ask.priority()).copied();
        let known = pace.expected(processing_time::Warmth::Known, ask.route.objective);
        let left = ask.deadline.since(now);
        let slack = ask.slack(now);
        for (place, position) in order.iter().copied().enumerate() {
            let seat = &pool.targets[position];
            let wait = seat.expected_wait(now);
            let warmth = seat.warmth(ask.affinity_key, place == 0);
            let work = pace.expected(warmth, ask.route.objective);
            let way = self.round_trip(&seat.target.zone);
            let expected = way + wait + work;
            let choice = candidate::Candidate {
                position,
                preference: place,
                warmth,
                latency: expected,
            };
            if seat.is_excluded(now) {
                if seat.own_requests() == 0 && last.is_none() {
                    last = Some(choice);
                }
                continue;
            }
            if seat.cold_start.is_cold(now) && !seat.cold_start.has_token(now) {
                continue;
            }
            found.is_any_usable = true;
            let soonest = way + wait + known;
            if seat.is_full(now) || soonest > left {
                continue;
            }
            let is_polite = patience.is_none_or(|patience| wait <= patience);
            let late = ask
                .route
                .objective
                .mul_f64(seat.failure_ratio(now) * FAILING_PARTS);
            let reckoned = expected + late;
            let is_known = warmth == processing_time::Warmth::Known;
            if is_polite && is_known && reckoned <= slack {
                found.candidate = Some(choice);
                return found;
            }
            let is_short = soonest + late <= slack;
            if place == 0 && is_polite && is_short {
                own = Some(choice);
            }
            let is_better = spare.is_none_or(|best| reckoned < best.latency);
            let busy = if place == 0 { 1.0 } else { SPARE_PART };
            if seat.has_free_slots(busy, now) && is_better {
                spare = Some(candidate::Candidate {
                    latency: reckoned,
                    ..choice
                });
            }
        }
        let lone = last.filter(|_choice| !found.is_any_usable);
        found.candidate = own.or(spare).or(lone);
        found
    }

    fn round_trip(&self, zone: &name::Zone) -> time::Duration {
        let mean = self.round_trips.get(zone).and_then(steer::Ewma::value);
        mean.map_or(FIRST_WAY, |micros| {
            time::Duration::from_micros(micros.into())
        })
    }

    fn host_count(&self, now: instant::Instant) -> u32 {
        let others = self.fleet.host_count(now);
        u32::try_from(others).map_or(u32::MAX, |others| others.saturating_add(1))
    }

    /// Returns the other hosts, without their demand.
    fn peer_counts(&self, now: instant::Instant) -> quota::PeerDemand {
        let hosts = self.host_count(now);
        let live = u32::try_from(self.fleet.live(now).count()).unwrap_or(u32::MAX);
        quota::PeerDemand {
            rate: 0.0,
            summed_rate: None,
            hosts: hosts - 1,
            has_majority: live.saturating_mul(2) >= hosts - 1,
        }
    }

    fn set_cold_rates(&mut self, now: instant::Instant) {
        let own = &self.identity;
        let live: Vec<&report::Member> = self.fleet.live(now).collect();
        let layout = &self.topology;
        for pool in self.pools.values_mut() {
            let Some(allowed) = pool.limits.cold_rate else {
                continue;
            };
            let cold = pool
                .targets
                .iter_mut()
                .filter(|seat| seat.cold_start.is_cold(now));
            for seat in cold {
                let region = layout.region(&seat.target.zone);
                let near = live
                    .iter()
                    .filter(|member| layout.region(&member.zone) == region)
                    .map(|member| member.host.as_str());
                let mut hosts: Vec<&str> = near.collect();
                if region == Some(&own.region) {
                    hosts.push(own.host.as_str());
                }
                if hosts.is_empty() {
                    hosts = live.iter().map(|member| member.host.as_str()).collect();
                    hosts.push(own.host.as_str());
                }
                let rate =
                    cold_start::rate(seat.target.id.as_str(), &hosts, own.host.as_str(), allowed);
                seat.cold_start.set_rate(rate, now);
            }
        }
    }

    fn update_splits(&mut self, now: instant::Instant) {
        let regions: Vec<name::Region> = self.topology.regions().into_iter().cloned().collect();
        let zone = &self.identity.zone;
        let told = self.fleet.remote_demand(
            zone,
            &self.topology,
            fleet::Fleet::RELAYED_LIVENESS_TIMEOUT,
            now,
        );
        for (service, pool) in &mut self.pools {
            let mut supply: collections::BTreeMap<name::Region, region_split::RegionCapacity> =
                regions
                    .iter()
                    .map(|region| (region.clone(), region_split::RegionCapacity::default()))
                    .collect();
            let is_open = |seat: &&target_status::TargetStatus| {
                seat.target.state == target::TargetState::Ready
                    && !self.closed.contains(&seat.target.zone)
            };
            for seat in pool.targets.iter().filter(is_open) {
                let region = self.topology.region(&seat.target.zone);
                if let Some(supply) = region.and_then(|region| supply.get_mut(region)) {
                    supply.slots += f64::from(seat.target.slots);
                }
            }
            let own = self.identity.region.clone();
            let digest = hash::digest(service.as_str());
            let told = told.iter().flat_map(|told| {
                let services = told.demand.services.iter();
                let of_service = services.filter(|(name, _d)| *name == digest);
                of_service.map(|(_name, demand)| (told.region, f64::from(*demand)))
            });
            for (region, demand) in told.chain([(Some(&own), pool.reported_demand)]) {
                if let Some(supply) = region.and_then(|region| supply.get_mut(region)) {
                    supply.demand += demand;
                }
            }
            let slots: f64 = supply.values().map(|supply| supply.slots).sum();
            let measured: f64 = supply.values().map(|supply| supply.demand).sum();
            let even = (slots * EVEN_DEMAND).max(slots * LEAST_DEMAND - measured);
            for (region, supply) in &mut supply {
                supply.demand += even * self.topology.part(region);
            }
            if measured > 0.0 {
                pool.split.step_toward(&own, &supply, now);
            } else {
                pool.split.set(&own, &supply, now);
            }
            pool.max_waits = max_wait::by_priority(self.rules.as_deref(), service, pool);
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "reports need few digits, which keeps them short"
)]
pub(super) const fn to_f32(figure: f64) -> f32 {
    figure as f32
}
