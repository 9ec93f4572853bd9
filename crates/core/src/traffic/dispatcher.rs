//! The dispatcher of one host: selects a target for each request, queues it, or refuses it.

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
use super::target_limits;
use super::target_status;
use super::topology;
use super::wait_queue;
use super::zone_summary;

/// Divisor of the objective that gives the longest time in a queue; a refusal after that is late.
const QUEUE_TIME_DIVISOR: u32 = 8;
/// Largest number of queued requests per service.
const MAX_QUEUED: usize = 64;
/// Unsuccessful placements after which a pass over one queue stops trying.
const MAX_FAILED_PLACEMENTS: usize = 8;
/// Targets of the planned region to consider, in the request's preference order.
const PLANNED_REGION_CANDIDATES: usize = 4;
/// Targets of each further region to consider.
const OTHER_REGION_CANDIDATES: usize = 2;
/// Round-trip time assumed for a zone before the first connection to it.
const DEFAULT_ROUND_TRIP: time::Duration = time::Duration::from_millis(10);
/// Ratio of a target's slots up to which it takes requests that would be late at their preferred target.
const SPARE_SLOT_RATIO: f64 = 0.5;
/// Demand per slot added to the measured demand, spread evenly over the zones.
const EVEN_DEMAND_PER_SLOT: f64 = 0.15;
/// Smallest demand per slot to plan for, so that a split exists before the first requests.
const MIN_DEMAND_PER_SLOT: f64 = 0.6;
/// Shortest retry delay of a refused caller, in objectives.
const MIN_RETRY_OBJECTIVES: f64 = 0.5;
/// Range over which the retry delays of refused callers are spread, in objectives.
const RETRY_SPREAD_OBJECTIVES: f64 = 1.0;
/// Latency penalty of a target whose recent attempts all failed, in objectives.
const FAILURE_PENALTY_OBJECTIVES: f64 = 2.0;

/// The name and location of this host.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the host.
    pub host: name::Host,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Its region.
    pub region: name::Region,
}

/// The retry budget of each service, shared by all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request to a service.
    pub ratio: f64,
    /// Retries allowed per window in addition to the ratio.
    pub allowance: f64,
}

/// The state of one host and its decisions on requests.
///
/// `T` is what the caller of [`Dispatcher::enqueue`] keeps with a queued request.
#[derive(Debug)]
pub struct Dispatcher<T> {
    identity: Identity,
    topology: topology::Topology,
    retry_limits: RetryLimits,
    rules: Option<sync::Arc<rules::Rules>>,
    closed: collections::BTreeSet<name::Zone>,
    /// When zones were reopened last.
    reopened: collections::BTreeMap<name::Zone, instant::Instant>,
    pools: collections::HashMap<name::Service, pool::Pool>,
    queues: collections::HashMap<name::Service, wait_queue::WaitQueue<T>>,
    quotas: quotas::Quotas,
    round_robins: collections::HashMap<String, round_robin::RoundRobin>,
    round_trips: collections::HashMap<name::Zone, steer::Ewma>,
    fleet: fleet::Fleet,
    crashes: crashes::Crashes,
    spillover: spillover::Spillover,
    limits: target_limits::TargetLimits,
    /// Requests whose end was not recorded long after their deadlines.
    overdue: u64,
}

impl<T> Dispatcher<T> {
    /// Creates a dispatcher without rules, targets or reports of other hosts.
    #[must_use]
    pub fn new(identity: Identity, topology: topology::Topology, limits: RetryLimits) -> Self {
        let fleet = fleet::Fleet::new(identity.host.clone());
        let target_limits = target_limits::TargetLimits::new(identity.host.clone());
        Self {
            identity,
            topology,
            retry_limits: limits,
            rules: None,
            closed: collections::BTreeSet::new(),
            reopened: collections::BTreeMap::new(),
            pools: collections::HashMap::new(),
            queues: collections::HashMap::new(),
            quotas: quotas::Quotas::default(),
            round_robins: collections::HashMap::new(),
            round_trips: collections::HashMap::new(),
            fleet,
            crashes: crashes::Crashes::default(),
            spillover: spillover::Spillover::default(),
            limits: target_limits,
            overdue: 0,
        }
    }

    /// Returns the rules in force, if any were received.
    #[must_use]
    pub const fn rules(&self) -> Option<&sync::Arc<rules::Rules>> {
        self.rules.as_ref()
    }

    /// Returns the state of the other hosts.
    #[must_use]
    pub const fn fleet(&self) -> &fleet::Fleet {
        &self.fleet
    }

    /// Returns the availability zones and their regions.
    #[must_use]
    pub const fn topology(&self) -> &topology::Topology {
        &self.topology
    }

    /// Returns whether requests with this fingerprint are quarantined for crashing targets.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: u64, now: instant::Instant) -> bool {
        self.crashes.is_quarantined(fingerprint, now)
    }

    /// Returns the limits that targets named.
    #[must_use]
    pub const fn limits(&self) -> &target_limits::TargetLimits {
        &self.limits
    }

    /// Returns the limits that targets named, to record what they say.
    pub const fn limits_mut(&mut self) -> &mut target_limits::TargetLimits {
        &mut self.limits
    }

    /// Replaces the limits of the retry budgets.
    pub const fn set_limits(&mut self, limits: RetryLimits) {
        self.retry_limits = limits;
    }

    /// Applies rules unless the same or a newer version is in force.
    ///
    /// Returns whether the rules were applied.
    pub fn set_rules(&mut self, rules: sync::Arc<rules::Rules>, now: instant::Instant) -> bool {
        let newest = self.rules.as_ref().map(|rules| rules.version);
        if newest.is_some_and(|version| version >= rules.version) {
            return false;
        }
        self.replace_rules(rules, now);
        true
    }

    /// Puts rules in force whatever their version.
    pub fn replace_rules(&mut self, rules: sync::Arc<rules::Rules>, now: instant::Instant) {
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
    }

    /// Replaces the set of targets; targets that stay keep their state.
    pub fn set_targets(&mut self, targets: &[target::Target], now: instant::Instant) {
        self.limits.set_targets(targets);
        for (service, pool) in &mut self.pools {
            let mut existing: Vec<target_status::TargetStatus> = std::mem::take(&mut pool.targets);
            let of_service = targets.iter().filter(|target| target.service == *service);
            for target in of_service {
                let known = existing.iter().position(|s| s.target.id == target.id);
                let status = if let Some(position) = known {
                    let mut status = existing.swap_remove(position);
                    if status.target != *target {
                        status.update(target.clone(), now);
                    }
                    status
                } else {
                    let mut status = target_status::TargetStatus::new(target.clone(), now);
                    // It may have been unlisted for a moment since its zone was reopened.
                    if let Some(reopened_at) = self.reopened.get(&target.zone) {
                        let warmup = pool.limits.warmup;
                        let left = warmup.saturating_sub(now.since(*reopened_at));
                        status.cold_start.extend(left, now);
                    }
                    status
                };
                pool.targets.push(status);
            }
            pool.targets.sort_by(|a, b| a.target.id.cmp(&b.target.id));
        }
        self.refresh(now);
    }

    /// Sets the availability zones whose targets get no requests; reopened zones start cold.
    pub fn set_closed(&mut self, zones: &collections::BTreeSet<name::Zone>, now: instant::Instant) {
        let before = std::mem::take(&mut self.closed);
        for zone in before.difference(zones) {
            self.reopened.insert(zone.clone(), now);
            for pool in self.pools.values_mut() {
                let warmup = pool.limits.warmup;
                let reopened = pool.targets.iter_mut().filter(|s| s.target.zone == *zone);
                reopened.for_each(|status| status.cold_start.extend(warmup, now));
            }
        }
        self.closed.clone_from(zones);
        self.refresh(now);
    }

    /// Applies another host's report.
    pub fn apply_report(
        &mut self,
        report: report::Report,
        now: instant::Instant,
    ) -> fleet::MemberChange {
        self.apply_crashes(&report.crashes, now);
        self.fleet.apply_report(report, now)
    }

    /// Applies another host's description of itself, sent without its demand.
    pub fn apply_member(
        &mut self,
        member: &report::Member,
        now: instant::Instant,
    ) -> fleet::MemberChange {
        self.fleet.apply_member(member, now)
    }

    /// Applies a relay's summary of its zone; returns each described host and its change.
    pub fn apply_summary(
        &mut self,
        summary: zone_summary::ZoneSummary,
        now: instant::Instant,
    ) -> Vec<(report::Member, fleet::MemberChange)> {
        self.apply_crashes(&summary.crashes, now);
        self.fleet.apply_summary(summary, now)
    }

    /// Applies the fleet view of a relay of this zone; returns each described host and its change.
    pub fn apply_view(
        &mut self,
        view: fleet_view::FleetView,
        now: instant::Instant,
    ) -> Vec<(report::Member, fleet::MemberChange)> {
        self.apply_crashes(&view.crashes, now);
        self.fleet.apply_view(view, now)
    }

    /// Sets this host's description of itself, which is sent without its demand.
    pub fn set_own_member(&mut self, own: &report::Member) {
        self.fleet.set_own_member(own);
    }

    fn apply_crashes(&mut self, crashes: &[(u64, name::Target)], now: instant::Instant) {
        for (fingerprint, target) in crashes {
            self.crashes.add(*fingerprint, target, now);
        }
    }

    /// Builds this host's report to the other hosts, and keeps it as the last one sent.
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
        let is_view_needed = self.fleet.is_view_needed(&own.zone, &own.host, now);
        let report = report::Report {
            member,
            demand,
            crashes: self.crashes.recent(now),
            is_view_needed,
        };
        self.fleet.set_own_report(&report);
        report
    }

    /// Returns the requests of this host that wait for an answer, and their targets that are silent.
    #[must_use]
    pub fn owed_answers(
        &self,
        now: instant::Instant,
    ) -> (u32, collections::BTreeSet<name::Target>) {
        let statuses = || self.pools.values().flat_map(|pool| &pool.targets);
        let silent = statuses().filter(|status| status.is_silent(now));
        (
            statuses()
                .map(target_status::TargetStatus::own_requests)
                .sum(),
            silent.map(|status| status.target.id.clone()).collect(),
        )
    }

    fn target_loads(&self) -> Vec<(u32, u16)> {
        let statuses = self.pools.values().flat_map(|pool| &pool.targets);
        let busy = statuses.filter(|status| status.own_requests() > 0);
        busy.map(|status| {
            let requests = u16::try_from(status.own_requests()).unwrap_or(u16::MAX);
            (hash::digest(status.target.id.as_str()), requests)
        })
        .collect()
    }

    fn apply_target_loads(&mut self, now: instant::Instant) {
        let mut loads: collections::HashMap<u32, f64> = collections::HashMap::new();
        let zone = &self.identity.zone;
        let remote =
            self.fleet
                .remote_demand(zone, &self.topology, fleet::Fleet::LIVENESS_TIMEOUT, now);
        for remote in remote {
            for (target, requests) in remote.demand.loads.iter().flatten() {
                *loads.entry(*target).or_default() += f64::from(*requests);
            }
        }
        let statuses = self.pools.values_mut().flat_map(|pool| &mut pool.targets);
        for status in statuses {
            let digest = hash::digest(status.target.id.as_str());
            status.set_reported_requests(loads.get(&digest).copied().unwrap_or(0.0), now);
        }
    }

    /// Recomputes quotas, region splits and cold-start rates from the hosts' reports.
    ///
    /// Must be called several times a second.
    pub fn refresh(&mut self, now: instant::Instant) {
        self.fleet.expire(now);
        let hosts = self.host_count(now);
        let inputs = quotas::Inputs {
            identity: &self.identity,
            topology: &self.topology,
            fleet: &self.fleet,
            peers: self.peer_counts(now),
        };
        self.quotas.update_shares(inputs, now);
        self.apply_target_loads(now);
        self.set_cold_rates(now);
        self.update_limit_shares(now);
        self.update_splits(now);
        let allowance = self.retry_limits.allowance;
        for pool in self.pools.values_mut() {
            pool.retries.set_hosts(allowance, hosts);
            pool.update_typical_load(now);
            let overdue = pool.targets.iter_mut().map(|status| status.expire(now));
            self.overdue += overdue.map(u64::from).sum::<u64>();
        }
    }

    /// Returns the number of requests whose end was not recorded long after their deadlines.
    #[must_use]
    pub const fn overdue(&self) -> u64 {
        self.overdue
    }

    /// Selects the service for the next request of a route, by weighted round robin.
    pub fn choose_service(&mut self, route: &super::Route) -> Option<name::Service> {
        if let [part] = &*route.split {
            return Some(part.service.clone());
        }
        let round_robin = if let Some(round_robin) = self.round_robins.get_mut(&route.name) {
            round_robin
        } else {
            let host = self.identity.host.as_str();
            let phase = hash::HashKey::new("split", host.as_bytes()).fraction(&route.name);
            let round_robin = self.round_robins.entry(route.name.clone());
            round_robin.or_insert(round_robin::RoundRobin::new(phase))
        };
        let position = round_robin.next(&route.split)?;
        Some(route.split[position].service.clone())
    }

    /// Returns the quotas of the client accounts.
    #[must_use]
    pub const fn quotas(&self) -> &quotas::Quotas {
        &self.quotas
    }

    /// Returns the quotas of the client accounts, to charge requests against them.
    pub const fn quotas_mut(&mut self) -> &mut quotas::Quotas {
        &mut self.quotas
    }

    /// Counts a request before its first placement.
    pub fn record_arrival(&mut self, request: &request::Request, now: instant::Instant) {
        if let Some(pool) = self.pools.get_mut(&request.service) {
            let work = pool
                .times(&request.route.name)
                .expected(processing_time::Warmth::Known, request.route.objective);
            pool.demand.add(work.as_secs_f64(), now);
            pool.retries.deposit();
        }
    }

    /// Takes one retry from a service's retry budget; returns whether it is allowed.
    pub fn take_retry(&mut self, service: &name::Service) -> bool {
        let pool = self.pools.get_mut(service);
        pool.is_some_and(|pool| pool.retries.withdraw())
    }

    /// Returns a retry that was not sent to its service's retry budget.
    pub fn return_retry(&mut self, service: &name::Service) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.retries.put_back();
        }
    }

    /// Decides what happens to a request now; a selected target counts it as sent.
    pub fn place(
        &mut self,
        request: &request::Request,
        now: instant::Instant,
    ) -> placement::Placement {
        let Some(pool) = self.pools.get(&request.service) else {
            return placement::Placement::Refuse(self.refusal(
                request,
                kind::ErrorKind::NoTarget,
                now,
            ));
        };
        let order = self.candidates(pool, request, now);
        let found = self.select_target(pool, request, &order, now);
        let Some(candidate) = found.candidate else {
            if order.is_empty()
                && let Some(pause) = self.shortest_pause(pool, request, now)
            {
                // Waiting for a target that wants nothing is in vain.
                let mut refusal = self.refusal(request, kind::ErrorKind::Overloaded, now);
                refusal.pause += pause;
                return placement::Placement::Refuse(refusal);
            }
            let has_limited = || {
                let mut targets = pool.targets.iter().map(|status| &status.target.id);
                targets.any(|target| !self.limits.has_room(target, now))
            };
            let kind = if found.is_any_usable || has_limited() {
                kind::ErrorKind::Overloaded
            } else {
                kind::ErrorKind::NoTarget
            };
            return self.wait_or_refuse(request, kind, now);
        };
        let Some(pool) = self.pools.get_mut(&request.service) else {
            return self.wait_or_refuse(request, kind::ErrorKind::NoTarget, now);
        };
        let planned = order
            .first()
            .map(|first| pool.targets[*first].target.zone.clone());
        let status = &mut pool.targets[candidate.position];
        let region = self.topology.region(&status.target.zone);
        let is_spillover = planned.is_some_and(|zone| self.topology.region(&zone) != region);
        self.spillover.record(is_spillover, now);
        let load = status.load(now);
        let is_cold = status.record_send(request.deadline, now);
        self.limits.record_send(&status.target.id, now);
        placement::Placement::Send(placement::Pick {
            service: request.service.clone(),
            target: status.target.id.clone(),
            address: status.target.address,
            zone: status.target.zone.clone(),
            preference: candidate.preference,
            warmth: candidate.warmth,
            load,
            expected_latency: candidate.latency,
            chosen_at: now,
            is_cold,
        })
    }

    /// Queues a request; returns the one that is evicted if the queue is full.
    pub fn enqueue(
        &mut self,
        request: request::Request,
        until: instant::Instant,
        item: T,
    ) -> Option<placement::Dequeued<T>> {
        let queue = self.queues.entry(request.service.clone());
        let queue = queue.or_insert_with(|| wait_queue::WaitQueue::new(MAX_QUEUED));
        let evicted = queue.push(wait_queue::Waiter {
            request,
            deadline: until,
            item,
        })?;
        let refusal = self.refusal(
            &evicted.request,
            kind::ErrorKind::Overloaded,
            evicted.deadline,
        );
        Some(placement::Dequeued {
            request: evicted.request,
            item: evicted.item,
            placement: placement::Placement::Refuse(refusal),
        })
    }

    /// Drops the queued requests whose item does not meet a condition.
    pub fn retain_waiting(&mut self, is_kept: impl Fn(&T) -> bool) {
        for queue in self.queues.values_mut() {
            queue.retain(&is_kept);
        }
    }

    /// Returns whether any request is queued.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.queues.values().any(|queue| !queue.is_empty())
    }

    /// Removes the queued requests that can be placed now or whose time in the queue is over.
    pub fn dequeue(&mut self, now: instant::Instant) -> Vec<placement::Dequeued<T>> {
        let mut dequeued = Vec::new();
        let services: Vec<name::Service> = self
            .queues
            .iter()
            .filter(|(_service, queue)| !queue.is_empty())
            .map(|(service, _queue)| service.clone())
            .collect();
        for service in services {
            let waiters = self
                .queues
                .get_mut(&service)
                .map_or_else(Vec::new, wait_queue::WaitQueue::drain);
            let mut attempts_left = MAX_FAILED_PLACEMENTS;
            for waiter in waiters {
                let is_expired = now >= waiter.deadline;
                let decision = if is_expired || attempts_left > 0 {
                    self.place(&waiter.request, now)
                } else {
                    placement::Placement::Wait(waiter.deadline)
                };
                match decision {
                    placement::Placement::Wait(_until) if !is_expired => {
                        attempts_left = attempts_left.saturating_sub(1);
                        let queue = self.queues.get_mut(&service);
                        let _evicted = queue.and_then(|queue| queue.push(waiter));
                    }
                    placement::Placement::Wait(_until) => {
                        let kind = kind::ErrorKind::Overloaded;
                        let refusal = self.refusal(&waiter.request, kind, now);
                        dequeued.push(placement::Dequeued {
                            request: waiter.request,
                            item: waiter.item,
                            placement: placement::Placement::Refuse(refusal),
                        });
                    }
                    decision => dequeued.push(placement::Dequeued {
                        request: waiter.request,
                        item: waiter.item,
                        placement: decision,
                    }),
                }
            }
        }
        dequeued
    }

    /// Records the result of an attempt.
    pub fn record_result(
        &mut self,
        request: &request::Request,
        pick: &placement::Pick,
        result: placement::AttemptResult,
        now: instant::Instant,
    ) {
        match result {
            placement::AttemptResult::Disconnected => {
                self.crashes
                    .record_disconnect(request.fingerprint, &pick.target, now);
            }
            placement::AttemptResult::ConnectFailed => {
                self.crashes.record_refused(&pick.target, now);
            }
            _ => {}
        }
        let round_trip = self.round_trip(&pick.zone);
        let work = now.since(pick.chosen_at).saturating_sub(round_trip);
        let Some(pool) = self.pools.get_mut(&pick.service) else {
            return;
        };
        let warmup = pool.limits.warmup;
        let Some(position) = pool.position(&pick.target) else {
            return;
        };
        if result == placement::AttemptResult::Unsent {
            self.limits.record_unsent(&pick.target);
            if pick.is_cold {
                pool.targets[position].cold_start.put_back();
            }
        }
        let work = pool.targets[position].without_queueing(work, pick.load);
        if matches!(result, placement::AttemptResult::Answered(_)) {
            pool.record_time(&request.route.name, pick.warmth, work);
            pool.targets[position].record_key(request.affinity_key);
        }
        pool.targets[position].record_result(result, work, warmup, now);
    }

    /// Records that a long request body is on its way to a target.
    pub fn record_upload_start(&mut self, pick: &placement::Pick) {
        if let Some(status) = self.status_mut(pick) {
            status.record_upload_start();
        }
    }

    /// Records that a request body arrived at its target, or ended early.
    pub fn record_upload_end(&mut self, pick: &placement::Pick, now: instant::Instant) {
        if let Some(status) = self.status_mut(pick) {
            status.record_upload_end(now);
        }
    }

    /// Records that a request body ended before any of it was sent to its target.
    pub fn record_unsent_upload_end(&mut self, pick: &placement::Pick, now: instant::Instant) {
        if let Some(status) = self.status_mut(pick) {
            status.record_unsent_upload_end(now);
        }
    }

    /// Records that a target's response was cut off after its beginning was passed on.
    pub fn record_cut(&mut self, pick: &placement::Pick, now: instant::Instant) {
        let pool = self.pools.get(&pick.service);
        let warmup = pool.map_or(time::Duration::ZERO, |pool| pool.limits.warmup);
        if let Some(status) = self.status_mut(pick) {
            status.record_cut(warmup, now);
        }
    }

    fn status_mut(&mut self, pick: &placement::Pick) -> Option<&mut target_status::TargetStatus> {
        let pool = self.pools.get_mut(&pick.service)?;
        let position = pool.position(&pick.target)?;
        pool.targets.get_mut(position)
    }

    /// Records the time that a connection to an availability zone took to open.
    pub fn record_connect_time(&mut self, zone: &name::Zone, duration: time::Duration) {
        let micros = u64::from(processing_time::micros(duration));
        match self.round_trips.get_mut(zone) {
            Some(mean) => mean.update(micros),
            None => self
                .round_trips
                .entry(zone.clone())
                .or_default()
                .update(micros),
        }
    }

    /// Returns a refusal whose retry delay is spread, so that callers don't return together.
    #[must_use]
    pub fn refusal(
        &self,
        request: &request::Request,
        kind: kind::ErrorKind,
        now: instant::Instant,
    ) -> placement::Refusal {
        let spread = hash::HashKey::new("pause", &now.as_micros().to_le_bytes());
        let objectives = MIN_RETRY_OBJECTIVES
            + RETRY_SPREAD_OBJECTIVES * spread.fraction(request.service.as_str());
        placement::Refusal {
            kind,
            pause: request.route.objective.mul_f64(objectives),
        }
    }

    /// Returns the time until the first of a request's targets takes requests again, if each of them
    /// has asked this host to pause for longer than a request may wait.
    fn shortest_pause(
        &self,
        pool: &pool::Pool,
        request: &request::Request,
        now: instant::Instant,
    ) -> Option<time::Duration> {
        let allowed = pool.targets.iter().filter(|status| {
            let region = self.topology.region(&status.target.zone);
            let is_allowed = region.is_some_and(|region| request.allows_region(region));
            is_allowed && self.is_open(status) && !request.tried.contains(&status.target.id)
        });
        let pauses = allowed.map(|status| self.limits.pause(&status.target.id, now));
        let max_wait = request.route.objective / QUEUE_TIME_DIVISOR;
        pauses.min().filter(|pause| *pause > max_wait)
    }

    /// Returns whether a target takes new requests, as far as it and the operators say.
    fn is_open(&self, status: &target_status::TargetStatus) -> bool {
        status.target.state == target::TargetState::Ready
            && !self.closed.contains(&status.target.zone)
            && !self.limits.is_leaving(&status.target.id)
    }

    /// Decides whether a request waits in the queue of its service or is refused.
    fn wait_or_refuse(
        &self,
        request: &request::Request,
        kind: kind::ErrorKind,
        now: instant::Instant,
    ) -> placement::Placement {
        let until = request.arrived + request.route.objective / QUEUE_TIME_DIVISOR;
        let queue = self.queues.get(&request.service);
        let has_room = queue.is_none_or(|queue| queue.has_room(request.priority()));
        if now < until && until < request.deadline && has_room {
            return placement::Placement::Wait(until);
        }
        placement::Placement::Refuse(self.refusal(request, kind, now))
    }

    /// Returns the positions of the targets that a request may be sent to, in its order.
    ///
    /// Regions other than the planned one are skipped while the spillover limit is
    /// reached, unless the planned region has no usable target.
    fn candidates(
        &self,
        pool: &pool::Pool,
        request: &request::Request,
        now: instant::Instant,
    ) -> Vec<usize> {
        let mut chosen: Vec<usize> = Vec::new();
        let allows_spillover = self.spillover.allows_more(now);
        let regions = pool
            .split
            .region_order(&self.identity.region, request.affinity_key);
        let allowed = regions
            .into_iter()
            .filter(|region| request.allows_region(region));
        for (n, region) in allowed.enumerate() {
            let order = pool.preference_order(region, &self.topology, request.affinity_key);
            let usable = order.into_iter().filter(|position| {
                let status = &pool.targets[*position];
                self.is_open(status)
                    && !request.tried.contains(&status.target.id)
                    && self.limits.has_room(&status.target.id, now)
            });
            let has_planned = chosen
                .iter()
                .any(|position| !pool.targets[*position].is_excluded(now));
            if n > 0 && has_planned && !allows_spillover {
                break;
            }
            let max_candidates = if n == 0 {
                PLANNED_REGION_CANDIDATES
            } else {
                OTHER_REGION_CANDIDATES
            };
            chosen.extend(usable.take(max_candidates));
        }
        chosen
    }

    /// Selects a target from the candidates.
    ///
    /// The first target that is warm for the affinity key and answers within the
    /// objective wins. Else the preferred target is used if it can answer in time once
    /// warm, then the fastest target with spare slots, and last an excluded target
    /// without requests if no other is usable.
    fn select_target(
        &self,
        pool: &pool::Pool,
        request: &request::Request,
        order: &[usize],
        now: instant::Instant,
    ) -> candidate::Found {
        let mut found = candidate::Found::default();
        let mut preferred: Option<candidate::Candidate> = None;
        let mut spare: Option<candidate::Candidate> = None;
        let mut excluded_target: Option<candidate::Candidate> = None;
        let times = pool.times(&request.route.name);
        let max_wait = pool.max_waits.get(&request.priority()).copied();
        let warm_time = times.expected(processing_time::Warmth::Known, request.route.objective);
        let time_left = request.deadline.since(now);
        let slack = request.slack(now);
        for (preference, position) in order.iter().copied().enumerate() {
            let status = &pool.targets[position];
            let wait = status.expected_wait(now);
            let warmth = status.warmth(request.affinity_key, preference == 0);
            let work = times.expected(warmth, request.route.objective);
            let round_trip = self.round_trip(&status.target.zone);
            let expected = round_trip + wait + work;
            let candidate = candidate::Candidate {
                position,
                preference,
                warmth,
                latency: expected,
            };
            if status.is_excluded(now) {
                if status.own_requests() == 0 && excluded_target.is_none() {
                    excluded_target = Some(candidate);
                }
                continue;
            }
            if status.cold_start.is_cold(now) && !status.cold_start.has_token(now) {
                continue;
            }
            found.is_any_usable = true;
            let earliest_latency = round_trip + wait + warm_time;
            if status.is_full(now) || earliest_latency > time_left {
                continue;
            }
            let is_within_max_wait = max_wait.is_none_or(|max_wait| wait <= max_wait);
            let penalty = request
                .route
                .objective
                .mul_f64(status.failure_ratio(now) * FAILURE_PENALTY_OBJECTIVES);
            let penalized_latency = expected + penalty;
            let is_known = warmth == processing_time::Warmth::Known;
            if is_within_max_wait && is_known && penalized_latency <= slack {
                found.candidate = Some(candidate);
                return found;
            }
            let is_in_time = earliest_latency + penalty <= slack;
            if preference == 0 && is_within_max_wait && is_in_time {
                preferred = Some(candidate);
            }
            let is_better = spare.is_none_or(|best| penalized_latency < best.latency);
            let slot_ratio = if preference == 0 {
                1.0
            } else {
                SPARE_SLOT_RATIO
            };
            if status.has_free_slots(slot_ratio, now) && is_better {
                spare = Some(candidate::Candidate {
                    latency: penalized_latency,
                    ..candidate
                });
            }
        }
        let excluded = excluded_target.filter(|_choice| !found.is_any_usable);
        found.candidate = preferred.or(spare).or(excluded);
        found
    }

    fn round_trip(&self, zone: &name::Zone) -> time::Duration {
        let mean = self.round_trips.get(zone).and_then(steer::Ewma::value);
        mean.map_or(DEFAULT_ROUND_TRIP, |micros| {
            time::Duration::from_micros(micros.into())
        })
    }

    fn host_count(&self, now: instant::Instant) -> u32 {
        let others = self.fleet.host_count(now);
        u32::try_from(others).map_or(u32::MAX, |others| others.saturating_add(1))
    }

    /// Returns the number of other hosts and whether most are live; the demand is left empty.
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
        let topology = &self.topology;
        for pool in self.pools.values_mut() {
            let Some(allowed) = pool.limits.cold_rate else {
                continue;
            };
            let cold = pool
                .targets
                .iter_mut()
                .filter(|status| status.cold_start.is_cold(now));
            for status in cold {
                let region = topology.region(&status.target.zone);
                let same_region = live
                    .iter()
                    .filter(|member| topology.region(&member.zone) == region)
                    .map(|member| member.host.as_str());
                let mut hosts: Vec<&str> = same_region.collect();
                if region == Some(&own.region) {
                    hosts.push(own.host.as_str());
                }
                if hosts.is_empty() {
                    hosts = live.iter().map(|member| member.host.as_str()).collect();
                    hosts.push(own.host.as_str());
                }
                let rate = cold_start::rate(
                    status.target.id.as_str(),
                    &hosts,
                    own.host.as_str(),
                    allowed,
                );
                status.cold_start.set_rate(rate, now);
            }
        }
    }

    fn update_limit_shares(&mut self, now: instant::Instant) {
        let peers = self.peer_counts(now);
        let own = &self.identity;
        // Hosts that start or leave count for all others as they do for themselves: a share ends for
        // them when it ends in the others' view. Only a host that is not heard yet comes on top.
        let live = self.fleet.live(now);
        let mut hosts: Vec<(&name::Host, &name::Zone)> =
            live.map(|member| (&member.host, &member.zone)).collect();
        hosts.push((&own.host, &own.zone));
        let hosts = target_limits::Hosts {
            topology: &self.topology,
            live: &hosts,
            is_isolated: !peers.has_majority && peers.hosts > 0,
        };
        self.limits.update_shares(hosts, now);
    }

    fn update_splits(&mut self, now: instant::Instant) {
        let regions: Vec<name::Region> = self.topology.regions().into_iter().cloned().collect();
        let zone = &self.identity.zone;
        let remote = self.fleet.remote_demand(
            zone,
            &self.topology,
            fleet::Fleet::RELAYED_LIVENESS_TIMEOUT,
            now,
        );
        for (service, pool) in &mut self.pools {
            let mut capacity: collections::BTreeMap<name::Region, region_split::RegionCapacity> =
                regions
                    .iter()
                    .map(|region| (region.clone(), region_split::RegionCapacity::default()))
                    .collect();
            let is_open = |status: &&target_status::TargetStatus| {
                status.target.state == target::TargetState::Ready
                    && !self.closed.contains(&status.target.zone)
                    && !self.limits.is_leaving(&status.target.id)
            };
            for status in pool.targets.iter().filter(is_open) {
                let region = self.topology.region(&status.target.zone);
                if let Some(capacity) = region.and_then(|region| capacity.get_mut(region)) {
                    let limit = self.limits.rate(&status.target.id, now);
                    capacity.slots += status.usable_slots(limit);
                }
            }
            let own_region = self.identity.region.clone();
            let digest = hash::digest(service.as_str());
            let remote = remote.iter().flat_map(|remote| {
                let services = remote.demand.services.iter();
                let of_service = services.filter(|(name, _d)| *name == digest);
                of_service.map(|(_name, demand)| (remote.region, f64::from(*demand)))
            });
            for (region, demand) in remote.chain([(Some(&own_region), pool.reported_demand)]) {
                if let Some(capacity) = region.and_then(|region| capacity.get_mut(region)) {
                    capacity.demand += demand;
                }
            }
            let slots: f64 = capacity.values().map(|capacity| capacity.slots).sum();
            let measured: f64 = capacity.values().map(|capacity| capacity.demand).sum();
            let added = (slots * EVEN_DEMAND_PER_SLOT).max(slots * MIN_DEMAND_PER_SLOT - measured);
            for (region, capacity) in &mut capacity {
                capacity.demand += added * self.topology.zone_ratio(region);
            }
            if measured > 0.0 {
                pool.split.step_toward(&own_region, &capacity, now);
            } else {
                pool.split.set(&own_region, &capacity, now);
            }
            pool.max_waits = max_wait::by_priority(self.rules.as_deref(), service, pool);
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "reports need few digits, and f32 keeps them short"
)]
pub(super) const fn to_f32(number: f64) -> f32 {
    number as f32
}
