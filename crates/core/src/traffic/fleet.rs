//! The entry hosts that this host hears.

use std::collections;
use std::time;

use crate::instant;
use crate::name;

use super::fleet_view;
use super::hash;
use super::peer;
use super::report;
use super::topology;
use super::zone_summary;

/// The entry hosts that were heard lately, with what they last told.
#[derive(Debug, Default)]
pub struct Fleet {
    members: collections::BTreeMap<name::Host, peer::Peer>,
    zone_sums: collections::BTreeMap<name::Zone, Sum>,
    last_view: Option<LastView>,
    /// This host, which is no member of the others.
    host: Option<name::Host>,
    /// What it told of itself last.
    own_report: Option<report::Report>,
}

/// The demand of an availability zone's or a region's hosts together.
#[derive(Debug)]
struct Sum {
    demand: report::Demand,
    at: instant::Instant,
}

/// What a relay of the own availability zone told last.
#[derive(Debug)]
struct LastView {
    at: instant::Instant,
    hosts: usize,
    /// Demand of the other availability zones, by region.
    region_demand: collections::BTreeMap<name::Region, Sum>,
    /// Demand of the other hosts of the own one, where they tell their relays only.
    zone_demand: Option<report::Demand>,
}

/// The demand of one or several other hosts.
#[derive(Clone, Copy, Debug)]
pub struct RemoteDemand<'a> {
    /// Their region, if the layout has it.
    pub region: Option<&'a name::Region>,
    /// What their callers ask for.
    pub demand: &'a report::Demand,
    /// Whether a relay added it up, so that it is older than a host's own report.
    pub is_summed: bool,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// The host was not known or was silent before.
    Joined,
    /// The host began another phase or another life.
    Changed,
    /// Nothing but figures.
    Same,
}

impl Fleet {
    /// Silence after which a host counts as gone; more than three reports at their usual pace.
    pub const LIVENESS_TIMEOUT: time::Duration = time::Duration::from_millis(1_750);
    /// The same for a host of which relays tell, at their slowest pace and with one message lost.
    pub const RELAYED_LIVENESS_TIMEOUT: time::Duration = time::Duration::from_secs(3);
    /// Silence after which a host's part of the shares is given to the others.
    pub const FORGET_TIMEOUT: time::Duration = time::Duration::from_secs(30);
    /// Hosts up to which each one is told every report; two zones of eight at the usual sites.
    pub const MIN_RELAYED_HOSTS: usize = 16;
    /// Silence of the first relay after which the second one tells the zone, and of both after
    /// which a host asks for a whole view: three views with a margin.
    const VIEW_SILENCE: time::Duration = time::Duration::from_millis(800);
    /// Relays of an availability zone; the second one stands in when the first one fails.
    pub const RELAYS_PER_ZONE: usize = 2;
    /// Time by which own reports may be newer than their zone's sum, which then still counts.
    const SUM_LAG: time::Duration = time::Duration::from_millis(600);

    /// Creates the fleet as a host knows it that heard nobody.
    #[must_use]
    pub fn new(host: name::Host) -> Self {
        Self {
            host: Some(host),
            ..Self::default()
        }
    }

    /// Takes in a host's own report.
    pub fn apply_report(&mut self, report: report::Report, now: instant::Instant) -> MemberChange {
        let news = self.note(&report.member, now, peer::Via::Report, now);
        if let Some(heard) = self.members.get_mut(&report.member.host) {
            heard.report = Some((report, now));
        }
        news
    }

    /// Takes in what a relay tells of its zone; returns each host with what changed of it.
    pub fn apply_summary(
        &mut self,
        summary: zone_summary::ZoneSummary,
        now: instant::Instant,
    ) -> Vec<(report::Member, MemberChange)> {
        let news = self.note_members(summary.members, now);
        self.note_ages(&summary.ages, now);
        let before = self.zone_sums.remove(&summary.zone).map(|sum| sum.demand);
        let demand = summary.demand.with_loads_of(before);
        self.zone_sums.insert(summary.zone, Sum { demand, at: now });
        news
    }

    fn note_members(
        &mut self,
        members: Vec<(report::Member, u16)>,
        now: instant::Instant,
    ) -> Vec<(report::Member, MemberChange)> {
        let mut all = Vec::new();
        for (member, age) in members {
            if self.host.as_ref() == Some(&member.host) {
                continue;
            }
            let at = now.before(time::Duration::from_millis(age.into()));
            let news = self.note(&member, at, peer::Via::Relay, now);
            all.push((member, news));
        }
        all
    }

    /// Takes in when hosts were heard, by the digests of their names.
    fn note_ages(&mut self, ages: &[(u32, u16)], now: instant::Instant) {
        let ages: collections::HashMap<u32, u16> = ages.iter().copied().collect();
        if ages.is_empty() {
            return;
        }
        for heard in self.members.values_mut() {
            let digest = hash::digest(heard.member.host.as_str());
            let Some(age) = ages.get(&digest) else {
                continue;
            };
            let at = now.before(time::Duration::from_millis((*age).into()));
            if at > heard.heard_at {
                heard.heard_at = at;
                heard.via = peer::Via::Relay;
            }
        }
    }

    /// Takes in what a host tells of itself without its demand.
    pub fn apply_member(&mut self, member: &report::Member, now: instant::Instant) -> MemberChange {
        self.note(member, now, peer::Via::Report, now)
    }

    fn note(
        &mut self,
        member: &report::Member,
        at: instant::Instant,
        via: peer::Via,
        now: instant::Instant,
    ) -> MemberChange {
        let Some(heard) = self.members.get_mut(&member.host) else {
            let heard = peer::Peer {
                member: member.clone(),
                heard_at: at,
                changed_at: now,
                via,
                report: None,
            };
            self.members.insert(member.host.clone(), heard);
            return MemberChange::Joined;
        };
        if at < heard.heard_at {
            return MemberChange::Same;
        }
        let was_live = heard.is_live(now);
        let is_same =
            heard.member.phase == member.phase && heard.member.incarnation == member.incarnation;
        if !was_live || !is_same || heard.member.store_access != member.store_access {
            heard.changed_at = now;
        }
        heard.member.clone_from(member);
        heard.heard_at = at;
        heard.via = via;
        match (was_live, is_same) {
            (false, _) => MemberChange::Joined,
            (true, true) => MemberChange::Same,
            (true, false) => MemberChange::Changed,
        }
    }

    /// Forgets hosts that have long been silent; returns them.
    pub fn expire(&mut self, now: instant::Instant) -> Vec<name::Host> {
        let gone: Vec<name::Host> = self
            .members
            .iter()
            .filter(|(_host, heard)| now.since(heard.heard_at) >= Self::FORGET_TIMEOUT)
            .map(|(host, _heard)| host.clone())
            .collect();
        for host in &gone {
            self.members.remove(host);
        }
        gone
    }

    /// Returns the hosts heard lately, in order of their names.
    pub fn live(&self, now: instant::Instant) -> impl Iterator<Item = &report::Member> {
        let recent = self.members.values();
        recent
            .filter(move |heard| heard.is_live(now))
            .map(|heard| &heard.member)
    }

    /// Returns the other hosts of a zone that were heard lately, in order of their names.
    pub fn zone_peers<'a, 'b>(
        &'a self,
        zone: &'b name::Zone,
        now: instant::Instant,
    ) -> impl Iterator<Item = &'a report::Member> + use<'a, 'b> {
        self.live(now).filter(move |member| member.zone == *zone)
    }

    /// Returns the same hosts in the order that all hosts share.
    fn ordered_zone_peers(&self, zone: &name::Zone, now: instant::Instant) -> Vec<&report::Member> {
        let mut mates: Vec<&report::Member> = self.zone_peers(zone, now).collect();
        mates.sort_by_key(|member| hash::digest(member.host.as_str()));
        mates
    }

    /// Returns how many live hosts come before a host in an order that all hosts share.
    #[must_use]
    pub fn position(&self, own: &name::Host, now: instant::Instant) -> usize {
        hosts_before(own, self.live(now))
    }

    /// Returns how many live hosts of a zone come before a host in the order that all share.
    #[must_use]
    pub fn zone_position(
        &self,
        zone: &name::Zone,
        own: &name::Host,
        now: instant::Instant,
    ) -> usize {
        hosts_before(own, self.zone_peers(zone, now))
    }

    /// Returns whether a live host of the zone, before this one in the order, gets answers of the store.
    #[must_use]
    pub fn has_store_reader(
        &self,
        zone: &name::Zone,
        own: &name::Host,
        now: instant::Instant,
    ) -> bool {
        let mates = self.zone_peers(zone, now);
        let readers = mates.filter(|member| member.store_access == report::StoreAccess::Available);
        hosts_before(own, readers) > 0
    }

    /// Returns what this host told of itself last.
    #[must_use]
    pub const fn own_report(&self) -> Option<&report::Report> {
        self.own_report.as_ref()
    }

    /// Returns the relays of a zone among the other hosts, the first one first.
    #[must_use]
    pub fn zone_relays(&self, zone: &name::Zone, now: instant::Instant) -> Vec<&report::Member> {
        let mut relays = self.ordered_zone_peers(zone, now);
        relays.truncate(Self::RELAYS_PER_ZONE);
        relays
    }

    /// Returns the relays of every other availability zone, with their places in its order.
    #[must_use]
    pub fn remote_relays(
        &self,
        own: &name::Zone,
        now: instant::Instant,
    ) -> Vec<(usize, &report::Member)> {
        let live = self.live(now).map(|member| &member.zone);
        let zones: collections::BTreeSet<&name::Zone> = live.filter(|zone| *zone != own).collect();
        let relays = zones.into_iter().map(|zone| self.zone_relays(zone, now));
        relays
            .flat_map(|relays| relays.into_iter().enumerate())
            .collect()
    }

    /// Adds up what the hosts of a host's own zone told, its own report included.
    #[must_use]
    pub fn summarize(
        &self,
        own: &report::Report,
        scope: fleet_view::Scope,
        has_loads: bool,
        now: instant::Instant,
    ) -> zone_summary::ZoneSummary {
        let zone = &own.member.zone;
        let mates = || self.zone_reports(zone, Self::LIVENESS_TIMEOUT, now);
        let hosts = || mates().map(|(heard, _report)| heard);
        let mut deaths: collections::BTreeSet<_> = own.crashes.iter().cloned().collect();
        for (_heard, report) in mates() {
            deaths.extend(report.crashes.iter().cloned());
        }
        zone_summary::ZoneSummary {
            zone: zone.clone(),
            members: peer::describe(hosts(), own, scope, now),
            ages: peer::ages(hosts(), scope, now),
            demand: self.zone_demand(own, now).into_demand(has_loads),
            crashes: deaths.into_iter().collect(),
        }
    }

    /// Returns whether the hosts of a zone tell their relays only, as too many live there.
    #[must_use]
    pub fn is_large_zone(&self, zone: &name::Zone, now: instant::Instant) -> bool {
        self.zone_peers(zone, now).count() >= Self::MIN_RELAYED_HOSTS
    }

    /// Returns whether a host is to be told of the whole fleet, as no relay of its zone did lately.
    #[must_use]
    pub fn is_view_needed(
        &self,
        zone: &name::Zone,
        own: &name::Host,
        now: instant::Instant,
    ) -> bool {
        self.lacks_view(now) && self.zone_position(zone, own, now) > 0
    }

    /// Returns whether a host is to tell its zone of the whole fleet: the first relay, and the
    /// second one while that is silent.
    #[must_use]
    pub fn is_view_publisher(
        &self,
        zone: &name::Zone,
        own: &name::Host,
        now: instant::Instant,
    ) -> bool {
        match self.zone_position(zone, own, now) {
            0 => true,
            place => place < Self::RELAYS_PER_ZONE && self.lacks_view(now),
        }
    }

    /// Returns the hosts to which a host passes a view that it made or heard.
    ///
    /// In a large zone the relay that tells it reaches the next few hosts in the order, and each
    /// of these a group of the others, so that no host's link carries a view to every host.
    #[must_use]
    pub fn view_recipients(
        &self,
        zone: &name::Zone,
        own: &name::Host,
        now: instant::Instant,
    ) -> Vec<&report::Member> {
        let mates = self.ordered_zone_peers(zone, now);
        let is_teller = self.is_view_publisher(zone, own, now);
        if mates.len() < Self::MIN_RELAYED_HOSTS {
            return if is_teller { mates } else { Vec::new() };
        }
        let groups = mates.len().isqrt();
        // This host is not among its mates, which moves those after it up by one.
        let place = self.zone_position(zone, own, now);
        let places = (0..).filter(|other| *other != place);
        let is_heard = |other: usize| match (is_teller, place) {
            (true, _) => other <= groups,
            (false, 1..) => place <= groups && other > groups && other % groups == place % groups,
            (false, _) => false,
        };
        let chosen = mates.into_iter().zip(places);
        chosen
            .filter(|(_member, other)| is_heard(*other))
            .map(|(member, _other)| member)
            .collect()
    }

    fn lacks_view(&self, now: instant::Instant) -> bool {
        let seen = self.last_view.as_ref();
        seen.is_none_or(|seen| now.since(seen.at) >= Self::VIEW_SILENCE)
    }

    /// Notes what this host tells of itself.
    pub fn set_own_report(&mut self, own: &report::Report) {
        self.own_report = Some(own.clone());
    }

    /// Returns what a relay tells its zone of the whole fleet.
    #[must_use]
    pub fn view(
        &self,
        own: &report::Report,
        layout: &topology::Topology,
        scope: fleet_view::Scope,
        has_far_loads: bool,
        now: instant::Instant,
    ) -> fleet_view::FleetView {
        let zone = &own.member.zone;
        let live = || self.members.values().filter(|heard| heard.is_live(now));
        let near = layout.region(zone);
        let mut regions: collections::BTreeMap<&name::Region, report::Total> =
            collections::BTreeMap::new();
        for told in self.other_zones_demand(zone, layout, Self::LIVENESS_TIMEOUT, now) {
            if let Some(region) = told.region {
                regions.entry(region).or_default().add(told.demand);
            }
        }
        let is_large = self.is_large_zone(zone, now);
        let mates = is_large.then(|| self.zone_demand(own, now).into_demand(true));
        fleet_view::FleetView {
            zone: zone.clone(),
            hosts: u32::try_from(self.members.len()).unwrap_or(u32::MAX),
            members: peer::describe(live(), own, scope, now),
            ages: peer::ages(live(), scope, now),
            region_demand: regions
                .into_iter()
                .map(|(region, total)| {
                    let has_loads = has_far_loads || Some(region) == near;
                    (region.clone(), total.into_demand(has_loads))
                })
                .collect(),
            zone_demand: mates,
            crashes: own.crashes.clone(),
        }
    }

    /// Takes in what a relay of the own zone tells; returns each host with what changed of it.
    pub fn apply_view(
        &mut self,
        view: fleet_view::FleetView,
        now: instant::Instant,
    ) -> Vec<(report::Member, MemberChange)> {
        let news = self.note_members(view.members, now);
        self.note_ages(&view.ages, now);
        let before = self.last_view.take().map(|seen| seen.region_demand);
        let mut before = before.unwrap_or_default();
        let told = view.region_demand.into_iter().map(|(region, demand)| {
            let last = before.remove(&region).map(|sum| sum.demand);
            let demand = demand.with_loads_of(last);
            (region, Sum { demand, at: now })
        });
        let regions = told.collect();
        self.last_view = Some(LastView {
            at: now,
            hosts: usize::try_from(view.hosts).unwrap_or(usize::MAX),
            region_demand: regions,
            zone_demand: view.zone_demand.map(|all| match &self.own_report {
                Some(own) => all.without(&own.demand),
                None => all,
            }),
        });
        news
    }

    /// Returns the demand at other hosts as told within `most`; no host counts twice.
    #[must_use]
    pub fn remote_demand<'a>(
        &'a self,
        own: &'a name::Zone,
        layout: &'a topology::Topology,
        most: time::Duration,
        now: instant::Instant,
    ) -> Vec<RemoteDemand<'a>> {
        let region = layout.region(own);
        let seen = self
            .last_view
            .as_ref()
            .filter(|seen| now.since(seen.at) < most);
        let mates = seen.and_then(|seen| seen.zone_demand.as_ref());
        let told = |demand, is_summed| RemoteDemand {
            region,
            demand,
            is_summed,
        };
        let mut all: Vec<RemoteDemand<'a>> = if let Some(mates) = mates {
            vec![told(mates, true)]
        } else {
            let near = self.zone_reports(own, most, now);
            near.map(|(_heard, report)| told(&report.demand, false))
                .collect()
        };
        if let Some(seen) = seen {
            all.extend(seen.region_demand.iter().map(|(region, sum)| RemoteDemand {
                region: Some(region),
                demand: &sum.demand,
                is_summed: true,
            }));
        } else {
            all.extend(self.other_zones_demand(own, layout, most, now));
        }
        all
    }

    /// Returns the hosts of a zone that told of themselves within `most`, with their reports.
    fn zone_reports<'a, 'b>(
        &'a self,
        zone: &'b name::Zone,
        most: time::Duration,
        now: instant::Instant,
    ) -> impl Iterator<Item = (&'a peer::Peer, &'a report::Report)> + use<'a, 'b> {
        let members = self.members.values();
        members
            .filter(move |heard| heard.member.zone == *zone)
            .filter_map(move |heard| Some((heard, heard.recent_report(now, most)?)))
    }

    /// Adds up the demand of a host's own zone, its own included.
    fn zone_demand(&self, own: &report::Report, now: instant::Instant) -> report::Total {
        let mut total = report::Total::default();
        total.add(&own.demand);
        for (_heard, report) in self.zone_reports(&own.member.zone, Self::LIVENESS_TIMEOUT, now) {
            total.add(&report.demand);
        }
        total
    }

    /// Returns the demand of the other zones, by their relays' sums or by each host's report.
    fn other_zones_demand<'a>(
        &'a self,
        own: &name::Zone,
        layout: &'a topology::Topology,
        most: time::Duration,
        now: instant::Instant,
    ) -> Vec<RemoteDemand<'a>> {
        let summed_most = most.max(Self::RELAYED_LIVENESS_TIMEOUT);
        let newest = |zone: &name::Zone| {
            let told = self.members.values().filter(|h| h.member.zone == *zone);
            told.filter_map(|h| h.report.as_ref().map(|(_report, at)| *at))
                .max()
        };
        let summed: collections::BTreeMap<&name::Zone, &report::Demand> = self
            .zone_sums
            .iter()
            .filter(|(zone, sum)| *zone != own && now.since(sum.at) < summed_most)
            .filter(|(zone, sum)| newest(zone).is_none_or(|at| at.since(sum.at) < Self::SUM_LAG))
            .map(|(zone, sum)| (zone, &sum.demand))
            .collect();
        let told = |zone, demand, is_summed| RemoteDemand {
            region: layout.region(zone),
            demand,
            is_summed,
        };
        let reports = self.members.values();
        let single = reports
            .filter_map(|heard| heard.recent_report(now, most))
            .filter(|report| report.member.zone != *own)
            .filter(|report| !summed.contains_key(&report.member.zone))
            .map(|report| told(&report.member.zone, &report.demand, false));
        let sums = summed.iter();
        sums.map(|(zone, demand)| told(zone, demand, true))
            .chain(single)
            .collect()
    }

    /// Returns the number of other hosts that are not forgotten, as known here or at a relay.
    #[must_use]
    pub fn host_count(&self, now: instant::Instant) -> usize {
        let seen = self.last_view.as_ref();
        let seen = seen.filter(|seen| now.since(seen.at) < Self::FORGET_TIMEOUT);
        let known = self.members.len();
        seen.map_or(known, |seen| seen.hosts.max(known))
    }
}

/// Returns how many members come before a host in an order that all hosts share.
fn hosts_before<'a>(own: &name::Host, members: impl Iterator<Item = &'a report::Member>) -> usize {
    let own = hash::digest(own.as_str());
    let others = members.map(|member| hash::digest(member.host.as_str()));
    others.filter(|other| *other < own).count()
}
