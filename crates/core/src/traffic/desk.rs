//! Everything that one host knows, and its decisions on requests.

use std::collections;
use std::sync;
use std::time;

use crate::instant;
use crate::kind;
use crate::name;
use crate::steer;

use super::ask;
use super::backlog;
use super::choice;
use super::cold;
use super::fleet;
use super::hash;
use super::layout;
use super::pace;
use super::patience;
use super::pick;
use super::plan;
use super::pool;
use super::quota;
use super::quotas;
use super::repeats;
use super::report;
use super::rules;
use super::seat;
use super::strays;
use super::summary;
use super::suspects;
use super::target;
use super::turns;
use super::view;

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
pub struct Limits {
    /// Second sends for each request to a service.
    pub repeat_ratio: f64,
    /// Second sends in each window besides.
    pub repeat_allowance: f64,
}

/// Everything that one host knows, and its decisions on requests.
#[derive(Debug)]
pub struct Desk<T> {
    identity: Identity,
    layout: layout::Layout,
    limits: Limits,
    rules: Option<sync::Arc<rules::Rules>>,
    closed: collections::BTreeSet<name::Zone>,
    pools: collections::HashMap<name::Service, pool::Pool>,
    lines: collections::HashMap<name::Service, backlog::Backlog<T>>,
    quotas: quotas::Quotas,
    turns: collections::HashMap<String, turns::Turns>,
    ways: collections::HashMap<name::Zone, steer::Ewma>,
    fleet: fleet::Fleet,
    suspects: suspects::Suspects,
    strays: strays::Strays,
    forgotten: instant::Instant,
}

impl<T> Desk<T> {
    /// Creates the knowledge of a host that has heard nothing.
    #[must_use]
    pub fn new(identity: Identity, layout: layout::Layout, limits: Limits) -> Self {
        let fleet = fleet::Fleet::new(identity.host.clone());
        Self {
            identity,
            layout,
            limits,
            rules: None,
            closed: collections::BTreeSet::new(),
            pools: collections::HashMap::new(),
            lines: collections::HashMap::new(),
            quotas: quotas::Quotas::default(),
            turns: collections::HashMap::new(),
            ways: collections::HashMap::new(),
            fleet,
            suspects: suspects::Suspects::default(),
            strays: strays::Strays::default(),
            forgotten: instant::Instant::ORIGIN,
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
    pub const fn layout(&self) -> &layout::Layout {
        &self.layout
    }

    /// Returns whether a request with a fingerprint is held back, as targets crashed under it.
    #[must_use]
    pub fn is_suspect(&self, print: u64, now: instant::Instant) -> bool {
        self.suspects.is_held(print, now)
    }

    /// Changes the limits that all hosts keep together.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Puts rules in force, unless newer ones are; returns whether they are in force now.
    pub fn set_rules(&mut self, rules: sync::Arc<rules::Rules>, now: instant::Instant) -> bool {
        let newest = self.rules.as_ref().map(|rules| rules.version);
        if newest.is_some_and(|version| version >= rules.version) {
            return false;
        }
        let hosts = self.host_count(now);
        for (service, terms) in &rules.services {
            let limits = self.limits;
            let pool = self.pools.entry(service.clone()).or_insert_with(|| {
                let budget =
                    repeats::Repeats::new(limits.repeat_ratio, limits.repeat_allowance, hosts);
                pool::Pool::new(*terms, budget)
            });
            pool.terms = *terms;
        }
        self.pools
            .retain(|service, _pool| rules.services.contains_key(service));
        self.quotas.set_rules(&rules, self.crowd(now), now);
        self.rules = Some(rules);
        self.refresh(now);
        true
    }

    /// Takes in every target that the store lists now.
    pub fn set_targets(&mut self, targets: &[target::Target], now: instant::Instant) {
        for (service, pool) in &mut self.pools {
            let mut kept: Vec<seat::Seat> = std::mem::take(&mut pool.seats);
            let of_service = targets.iter().filter(|target| target.service == *service);
            for target in of_service {
                match kept.iter().position(|seat| seat.target.id == target.id) {
                    Some(position) => {
                        let mut seat = kept.swap_remove(position);
                        if seat.target != *target {
                            seat.update(target.clone(), now);
                        }
                        pool.seats.push(seat);
                    }
                    None => pool.seats.push(seat::Seat::new(target.clone(), now)),
                }
            }
            pool.seats.sort_by(|a, b| a.target.id.cmp(&b.target.id));
        }
        self.refresh(now);
    }

    /// Takes in the availability zones whose targets are to get nothing.
    pub fn set_closed(&mut self, zones: &collections::BTreeSet<name::Zone>, now: instant::Instant) {
        let before = std::mem::take(&mut self.closed);
        for zone in before.difference(zones) {
            for pool in self.pools.values_mut() {
                let warmup = pool.terms.warmup;
                let back = pool.seats.iter_mut().filter(|s| s.target.zone == *zone);
                back.for_each(|seat| seat.cold.extend(warmup, now));
            }
        }
        self.closed.clone_from(zones);
        self.refresh(now);
    }

    /// Takes in another host's report.
    pub fn hear(&mut self, report: report::Report, now: instant::Instant) -> fleet::News {
        self.hear_deaths(&report.deaths, now);
        self.fleet.hear(report, now)
    }

    /// Takes in what a host tells of itself without its demand.
    pub fn hear_member(&mut self, member: &report::Member, now: instant::Instant) -> fleet::News {
        self.fleet.hear_member(member, now)
    }

    /// Takes in what a relay tells of its zone; returns each host with what changed of it.
    pub fn hear_summary(
        &mut self,
        summary: summary::Summary,
        now: instant::Instant,
    ) -> Vec<(report::Member, fleet::News)> {
        self.hear_deaths(&summary.deaths, now);
        self.fleet.hear_summary(summary, now)
    }

    /// Takes in what a relay of the own zone tells; returns each host with what changed of it.
    pub fn hear_view(
        &mut self,
        view: view::View,
        now: instant::Instant,
    ) -> Vec<(report::Member, fleet::News)> {
        self.hear_deaths(&view.deaths, now);
        self.fleet.hear_view(view, now)
    }

    fn hear_deaths(&mut self, deaths: &[(u64, name::Target)], now: instant::Instant) {
        for (print, target) in deaths {
            self.suspects.add(*print, target, now);
        }
    }

    /// Returns this host's report to the others.
    pub fn report(&mut self, member: report::Member, now: instant::Instant) -> report::Report {
        let pools = self.pools.iter_mut();
        let services = pools.map(|(service, pool)| {
            pool.reported = pool.demand.rate(now);
            (hash::digest(service.as_str()), narrow(pool.reported))
        });
        let demand = report::Demand {
            services: services.collect(),
            accounts: self.quotas.report(now),
            loads: Some(self.loads()),
        };
        let own = &self.identity;
        let is_blind = self.fleet.is_blind(&own.zone, &own.host, now);
        let report = report::Report {
            member,
            demand,
            deaths: self.suspects.recent(now),
            is_blind,
        };
        self.fleet.tell(&report);
        report
    }

    fn loads(&self) -> Vec<(u32, u16)> {
        let seats = self.pools.values().flat_map(|pool| &pool.seats);
        let busy = seats.filter(|seat| seat.own() > 0);
        busy.map(|seat| {
            let own = u16::try_from(seat.own()).unwrap_or(u16::MAX);
            (hash::digest(seat.target.id.as_str()), own)
        })
        .collect()
    }

    fn take_loads(&mut self, now: instant::Instant) {
        let mut loads: collections::HashMap<u32, f64> = collections::HashMap::new();
        let own = &self.identity.zone;
        let told = self
            .fleet
            .demands(own, &self.layout, fleet::Fleet::SILENCE, now);
        for told in told {
            for (target, requests) in told.demand.loads.iter().flatten() {
                *loads.entry(*target).or_default() += f64::from(*requests);
            }
        }
        let seats = self.pools.values_mut().flat_map(|pool| &mut pool.seats);
        for seat in seats {
            let digest = hash::digest(seat.target.id.as_str());
            seat.set_told(loads.get(&digest).copied().unwrap_or(0.0), now);
        }
    }

    /// Works out shares, plans and rates from what the hosts told; called a few times a second.
    pub fn refresh(&mut self, now: instant::Instant) {
        self.fleet.expire(now);
        let hosts = self.host_count(now);
        let scene = quotas::Scene {
            identity: &self.identity,
            layout: &self.layout,
            fleet: &self.fleet,
            crowd: self.crowd(now),
        };
        self.quotas.divide(scene, now);
        self.take_loads(now);
        self.set_cold_rates(now);
        self.set_plans(now);
        let allowance = self.limits.repeat_allowance;
        for pool in self.pools.values_mut() {
            pool.repeats.divide(allowance, hosts);
            pool.compare(now);
        }
        if now.since(self.forgotten) >= OBJECT_TIME {
            self.forgotten = now;
            self.pools.values_mut().for_each(pool::Pool::forget_objects);
        }
    }

    /// Chooses the service that runs a request of a route.
    pub fn choose_service(&mut self, route: &super::Route) -> Option<name::Service> {
        if let [part] = &*route.parts {
            return Some(part.service.clone());
        }
        let turns = match self.turns.get_mut(&route.name) {
            Some(turns) => turns,
            None => self.turns.entry(route.name.clone()).or_default(),
        };
        let position = turns.next(&route.parts)?;
        Some(route.parts[position].service.clone())
    }

    /// Returns the accounts' shares, to charge requests against them.
    pub const fn quotas_mut(&mut self) -> &mut quotas::Quotas {
        &mut self.quotas
    }

    /// Counts a request that is to be placed for the first time.
    pub fn arrive(&mut self, ask: &ask::Ask, now: instant::Instant) {
        if let Some(pool) = self.pools.get_mut(&ask.service) {
            let work = pool
                .pace(&ask.route.name)
                .work(pace::Warmth::Known, ask.route.objective);
            pool.see(ask.object, work, now);
            pool.repeats.earn();
        }
    }

    /// Takes one second send to a service from the budget; returns whether it may be made.
    pub fn may_repeat(&mut self, service: &name::Service) -> bool {
        let pool = self.pools.get_mut(service);
        pool.is_some_and(|pool| pool.repeats.take())
    }

    /// Decides where a request goes now; a chosen target counts it as sent.
    pub fn place(&mut self, ask: &ask::Ask, now: instant::Instant) -> pick::Placing {
        let Some(pool) = self.pools.get(&ask.service) else {
            return pick::Placing::Refuse(self.refusal(ask, kind::ErrorKind::NoTarget, now));
        };
        let order = self.candidates(pool, ask, now);
        let found = self.search(pool, ask, &order, now);
        let Some(choice) = found.choice else {
            let kind = if found.is_any_usable {
                kind::ErrorKind::Overloaded
            } else {
                kind::ErrorKind::NoTarget
            };
            return self.hold(ask, kind, now);
        };
        let Some(pool) = self.pools.get_mut(&ask.service) else {
            return self.hold(ask, kind::ErrorKind::NoTarget, now);
        };
        let planned = order
            .first()
            .map(|first| pool.seats[*first].target.zone.clone());
        let seat = &mut pool.seats[choice.position];
        let region = self.layout.region(&seat.target.zone);
        let is_stray = planned.is_some_and(|zone| self.layout.region(&zone) != region);
        self.strays.count(is_stray, now);
        let load = seat.load(now);
        seat.begin(now);
        pick::Placing::Send(pick::Pick {
            service: ask.service.clone(),
            target: seat.target.id.clone(),
            address: seat.target.address,
            zone: seat.target.zone.clone(),
            order: choice.order,
            warmth: choice.warmth,
            load,
            expected: choice.expected,
            at: now,
        })
    }

    /// Lets a request wait for room; returns the request that the line's bound pushes out.
    pub fn wait(
        &mut self,
        ask: ask::Ask,
        until: instant::Instant,
        item: T,
    ) -> Option<pick::Woken<T>> {
        let line = self.lines.entry(ask.service.clone());
        let line = line.or_insert_with(|| backlog::Backlog::new(MOST_WAITING));
        let out = line.push(backlog::Waiter { ask, until, item })?;
        let refusal = self.refusal(&out.ask, kind::ErrorKind::Overloaded, out.until);
        Some(pick::Woken {
            ask: out.ask,
            item: out.item,
            placing: pick::Placing::Refuse(refusal),
        })
    }

    /// Returns whether any request waits.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.lines.values().any(|line| !line.is_empty())
    }

    /// Takes out of the lines who can be placed now, or has waited long enough.
    pub fn wake(&mut self, now: instant::Instant) -> Vec<pick::Woken<T>> {
        let mut woken = Vec::new();
        let services: Vec<name::Service> = self
            .lines
            .iter()
            .filter(|(_service, line)| !line.is_empty())
            .map(|(service, _line)| service.clone())
            .collect();
        for service in services {
            let waiters = self
                .lines
                .get_mut(&service)
                .map_or_else(Vec::new, backlog::Backlog::drain);
            let mut tries = TRIED_AT_ONCE;
            for waiter in waiters {
                let is_over = now >= waiter.until;
                let placing = if is_over || tries > 0 {
                    self.place(&waiter.ask, now)
                } else {
                    pick::Placing::Wait(waiter.until)
                };
                match placing {
                    pick::Placing::Wait(_until) if !is_over => {
                        tries = tries.saturating_sub(1);
                        let line = self.lines.get_mut(&service);
                        let _within = line.and_then(|line| line.push(waiter));
                    }
                    pick::Placing::Wait(_until) => {
                        let kind = kind::ErrorKind::Overloaded;
                        let refusal = self.refusal(&waiter.ask, kind, now);
                        woken.push(pick::Woken {
                            ask: waiter.ask,
                            item: waiter.item,
                            placing: pick::Placing::Refuse(refusal),
                        });
                    }
                    placing => woken.push(pick::Woken {
                        ask: waiter.ask,
                        item: waiter.item,
                        placing,
                    }),
                }
            }
        }
        woken
    }

    /// Takes in how an attempt ended.
    pub fn finish(
        &mut self,
        ask: &ask::Ask,
        pick: &pick::Pick,
        ending: pick::Ending,
        now: instant::Instant,
    ) {
        match ending {
            pick::Ending::Broken => self.suspects.broke(ask.print, &pick.target, now),
            pick::Ending::Unreached => self.suspects.refused(&pick.target, now),
            _ => {}
        }
        let way = self.way(&pick.zone);
        let work = now.since(pick.at).saturating_sub(way);
        let Some(pool) = self.pools.get_mut(&pick.service) else {
            return;
        };
        let warmup = pool.terms.warmup;
        let Some(position) = pool.position(&pick.target) else {
            return;
        };
        let work = pool.seats[position].without_line(work, pick.load);
        if matches!(ending, pick::Ending::Answered(_)) {
            pool.learn(&ask.route.name, pick.warmth, work);
            pool.seats[position].handled(ask.object);
        }
        pool.seats[position].end(ending, work, warmup, now);
    }

    /// Adds the time that a connection to an availability zone took.
    pub fn connected(&mut self, zone: &name::Zone, took: time::Duration) {
        let micros = u64::from(pace::micros(took));
        match self.ways.get_mut(zone) {
            Some(mean) => mean.update(micros),
            None => self.ways.entry(zone.clone()).or_default().update(micros),
        }
    }

    /// Returns the refusal of a request that cannot be served now.
    #[must_use]
    pub fn refusal(
        &self,
        ask: &ask::Ask,
        kind: kind::ErrorKind,
        now: instant::Instant,
    ) -> pick::Refusal {
        let spread = hash::Object::new("pause", &now.as_micros().to_le_bytes());
        let parts = PAUSE_PART + SPREAD_PARTS * spread.fraction(ask.service.as_str());
        pick::Refusal {
            kind,
            pause: ask.route.objective.mul_f64(parts),
        }
    }

    fn hold(&self, ask: &ask::Ask, kind: kind::ErrorKind, now: instant::Instant) -> pick::Placing {
        let until = ask.arrived + ask.route.objective / WAIT_PARTS;
        let line = self.lines.get(&ask.service);
        let has_room = line.is_none_or(|line| line.has_room(ask.rank()));
        if now < until && until < ask.until && has_room {
            return pick::Placing::Wait(until);
        }
        pick::Placing::Refuse(self.refusal(ask, kind, now))
    }

    /// Returns the targets that a request may go to, in its order.
    ///
    /// Regions other than the planned one are left out while too many requests
    /// went astray already, unless the planned one has no target to use.
    fn candidates(&self, pool: &pool::Pool, ask: &ask::Ask, now: instant::Instant) -> Vec<usize> {
        let mut chosen: Vec<usize> = Vec::new();
        let may_stray = self.strays.may_grow(now);
        let regions = pool.plan.order(&self.identity.region, ask.object);
        let allowed = regions.into_iter().filter(|region| ask.allows(region));
        for (n, region) in allowed.enumerate() {
            let order = pool.order(region, &self.identity.zone, &self.layout, ask.object);
            let usable = order.into_iter().filter(|position| {
                let target = &pool.seats[*position].target;
                target.state == target::State::Ready
                    && !self.closed.contains(&target.zone)
                    && !ask.tried.contains(&target.id)
            });
            let has_planned = chosen
                .iter()
                .any(|position| !pool.seats[*position].is_left_out(now));
            if n > 0 && has_planned && !may_stray {
                break;
            }
            let most = if n == 0 { NEAR_CHOICES } else { FAR_CHOICES };
            chosen.extend(usable.take(most));
        }
        chosen
    }

    fn search(
        &self,
        pool: &pool::Pool,
        ask: &ask::Ask,
        order: &[usize],
        now: instant::Instant,
    ) -> choice::Found {
        let mut found = choice::Found::default();
        let mut own: Option<choice::Choice> = None;
        let mut spare: Option<choice::Choice> = None;
        let mut last: Option<choice::Choice> = None;
        let pace = pool.pace(&ask.route.name);
        let patience = pool.patience.get(&ask.rank()).copied();
        let known = pace.work(pace::Warmth::Known, ask.route.objective);
        let left = ask.until.since(now);
        let slack = ask.slack(now);
        for (place, position) in order.iter().copied().enumerate() {
            let seat = &pool.seats[position];
            let wait = seat.wait(now);
            let warmth = seat.warmth(ask.object, place == 0);
            let work = pace.work(warmth, ask.route.objective);
            let way = self.way(&seat.target.zone);
            let expected = way + wait + work;
            let choice = choice::Choice {
                position,
                order: place,
                warmth,
                expected,
            };
            if seat.is_left_out(now) {
                if seat.own() == 0 && last.is_none() {
                    last = Some(choice);
                }
                continue;
            }
            if seat.cold.is_cold(now) && !seat.cold.has_token(now) {
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
                .mul_f64(seat.failing(now) * FAILING_PARTS);
            let reckoned = expected + late;
            let is_known = warmth == pace::Warmth::Known;
            if is_polite && is_known && reckoned <= slack {
                found.choice = Some(choice);
                return found;
            }
            let is_short = soonest + late <= slack;
            if place == 0 && is_polite && is_short {
                own = Some(choice);
            }
            let is_better = spare.is_none_or(|best| reckoned < best.expected);
            let busy = if place == 0 { 1.0 } else { SPARE_PART };
            if seat.has_free_part(busy, now) && is_better {
                spare = Some(choice::Choice {
                    expected: reckoned,
                    ..choice
                });
            }
        }
        let lone = last.filter(|_choice| !found.is_any_usable);
        found.choice = own.or(spare).or(lone);
        found
    }

    fn way(&self, zone: &name::Zone) -> time::Duration {
        let mean = self.ways.get(zone).and_then(steer::Ewma::value);
        mean.map_or(FIRST_WAY, |micros| {
            time::Duration::from_micros(micros.into())
        })
    }

    fn host_count(&self, now: instant::Instant) -> u32 {
        let others = self.fleet.count(now);
        u32::try_from(others).map_or(u32::MAX, |others| others.saturating_add(1))
    }

    /// Returns the other hosts, without their demand.
    fn crowd(&self, now: instant::Instant) -> quota::Others {
        let hosts = self.host_count(now);
        let live = u32::try_from(self.fleet.live(now).count()).unwrap_or(u32::MAX);
        quota::Others {
            demand: 0.0,
            summed: None,
            hosts: hosts - 1,
            is_heard: live.saturating_mul(2) >= hosts - 1,
        }
    }

    fn set_cold_rates(&mut self, now: instant::Instant) {
        let own = &self.identity;
        let live: Vec<&report::Member> = self.fleet.live(now).collect();
        let layout = &self.layout;
        for pool in self.pools.values_mut() {
            let Some(allowed) = pool.terms.cold_rate else {
                continue;
            };
            let cold = pool.seats.iter_mut().filter(|seat| seat.cold.is_cold(now));
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
                let rate = cold::rate(seat.target.id.as_str(), &hosts, own.host.as_str(), allowed);
                seat.cold.set_rate(rate, now);
            }
        }
    }

    fn set_plans(&mut self, now: instant::Instant) {
        let regions: Vec<name::Region> = self.layout.regions().into_iter().cloned().collect();
        let zone = &self.identity.zone;
        let told = self
            .fleet
            .demands(zone, &self.layout, fleet::Fleet::RELAYED_SILENCE, now);
        for (service, pool) in &mut self.pools {
            let mut supply: collections::BTreeMap<name::Region, plan::Supply> = regions
                .iter()
                .map(|region| (region.clone(), plan::Supply::default()))
                .collect();
            let is_open = |seat: &&seat::Seat| {
                seat.target.state == target::State::Ready
                    && !self.closed.contains(&seat.target.zone)
            };
            for seat in pool.seats.iter().filter(is_open) {
                let region = self.layout.region(&seat.target.zone);
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
            for (region, demand) in told.chain([(Some(&own), pool.reported)]) {
                if let Some(supply) = region.and_then(|region| supply.get_mut(region)) {
                    supply.demand += demand;
                }
            }
            let slots: f64 = supply.values().map(|supply| supply.slots).sum();
            let measured: f64 = supply.values().map(|supply| supply.demand).sum();
            let even = (slots * EVEN_DEMAND).max(slots * LEAST_DEMAND - measured);
            for (region, supply) in &mut supply {
                supply.demand += even * self.layout.part(region);
            }
            if measured > 0.0 {
                pool.plan.adjust(&own, &supply, now);
            } else {
                pool.plan.begin(&own, &supply, now);
            }
            pool.patience = patience::of_ranks(self.rules.as_deref(), service, pool);
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "reports need few digits, which keeps them short"
)]
pub(super) const fn narrow(figure: f64) -> f32 {
    figure as f32
}
