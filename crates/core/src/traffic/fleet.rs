//! Membership and demand of the other entry hosts, as reported by them and by relays.

use std::collections;
use std::fmt;
use std::time;

use crate::instant;
use crate::name;

use super::dispatcher;
use super::fleet_view;
use super::hash;
use super::peer;
use super::report;
use super::topology;
use super::zone_summary;

/// The entry hosts heard recently, with their last reports.
///
/// In a large fleet the reports of a zone's hosts go to the zone's relays only. Relays
/// send summaries of their zone to the relays of other zones, and views of the whole
/// fleet to the hosts of their own zone.
///
/// The relay order sorts hosts by the digests of their names. The first
/// [`Fleet::RELAYS_PER_ZONE`] hosts of a zone in this order are its relays.
#[derive(Debug, Default)]
pub struct Fleet {
    members: collections::BTreeMap<name::Host, peer::Peer>,
    /// The sums that relays of other zones sent.
    zone_sums: collections::BTreeMap<name::Zone, Sum>,
    last_view: Option<LastView>,
    /// Name of this host, which is not among `members`.
    host: Option<name::Host>,
    /// The last report that this host sent.
    own_report: Option<report::Report>,
}

/// The summed demand of the hosts of an availability zone or a region.
#[derive(Debug)]
struct Sum {
    demand: report::Demand,
    at: instant::Instant,
}

/// The last view received from a relay of this host's zone.
#[derive(Debug)]
struct LastView {
    at: instant::Instant,
    /// Number of other hosts that the relay knew.
    hosts: usize,
    /// Demand of the other zones, by region.
    region_demand: collections::BTreeMap<name::Region, Sum>,
    /// Demand of the other hosts of this zone; `None` if they report to each other directly.
    zone_demand: Option<report::Demand>,
}

/// The demand of one or several other hosts.
#[derive(Clone, Copy, Debug)]
pub struct RemoteDemand<'a> {
    /// Region of the hosts, if the topology knows it.
    pub region: Option<&'a name::Region>,
    /// Demand of their callers.
    pub demand: &'a report::Demand,
    /// Whether a relay summed it up, which makes it older than a direct report.
    pub is_summed: bool,
}

/// The change of a host's state that a message brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// The host was unknown or timed out before.
    Joined,
    /// The host entered another phase or restarted.
    Changed,
    /// Neither phase nor incarnation changed.
    Same,
}

impl fmt::Display for MemberChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Joined => "joined",
            Self::Changed => "changed",
            Self::Same => "same",
        })
    }
}

impl Fleet {
    /// Silence after which a host counts as failed; more than three regular reports.
    pub const LIVENESS_TIMEOUT: time::Duration = time::Duration::from_millis(1_750);
    /// Silence after which a host known through relays counts as failed.
    ///
    /// It covers the longest interval between relay messages with one of them lost.
    pub const RELAYED_LIVENESS_TIMEOUT: time::Duration = time::Duration::from_secs(3);
    /// Silence after which a host is removed and its quotas go to the other hosts.
    pub const FORGET_TIMEOUT: time::Duration = time::Duration::from_secs(30);
    /// Smallest number of other hosts for which relays are used, in the fleet or in one zone.
    ///
    /// Usual sites have two zones of eight hosts and use no relays.
    pub const MIN_RELAYED_HOSTS: usize = 16;
    /// Time without a view after which the second relay sends views and hosts request full ones.
    ///
    /// It covers three views with a margin.
    const VIEW_TIMEOUT: time::Duration = time::Duration::from_millis(800);
    /// Relays of an availability zone; the second one takes over when the first one fails.
    pub const RELAYS_PER_ZONE: usize = 2;
    /// Longest time by which direct reports may be newer than the sum of their zone.
    ///
    /// An older sum is ignored and the direct reports are used.
    const MAX_SUM_LAG: time::Duration = time::Duration::from_millis(600);

    /// Creates an empty fleet as seen by `host`.
    #[must_use]
    pub fn new(host: name::Host) -> Self {
        Self {
            host: Some(host),
            ..Self::default()
        }
    }

    /// Applies a host's own report.
    pub fn apply_report(&mut self, report: report::Report, now: instant::Instant) -> MemberChange {
        let change = self.update_member(&report.member, now, peer::Via::Report, now);
        if let Some(peer) = self.members.get_mut(&report.member.host) {
            peer.report = Some((report, now));
        }
        change
    }

    /// Applies a relay's summary of its zone; returns each described host and its change.
    pub fn apply_summary(
        &mut self,
        summary: zone_summary::ZoneSummary,
        now: instant::Instant,
    ) -> Vec<(report::Member, MemberChange)> {
        let changes = self.apply_members(summary.members, now);
        self.apply_ages(&summary.ages, now);
        let previous = self.zone_sums.remove(&summary.zone).map(|sum| sum.demand);
        let demand = summary.demand.with_loads_of(previous);
        self.zone_sums.insert(summary.zone, Sum { demand, at: now });
        changes
    }

    /// Applies the hosts that a relay described, with the milliseconds since each was heard.
    fn apply_members(
        &mut self,
        members: Vec<(report::Member, u16)>,
        now: instant::Instant,
    ) -> Vec<(report::Member, MemberChange)> {
        let mut changes = Vec::new();
        for (member, age) in members {
            if self.host.as_ref() == Some(&member.host) {
                continue;
            }
            let at = now.before(time::Duration::from_millis(age.into()));
            let change = self.update_member(&member, at, peer::Via::Relay, now);
            changes.push((member, change));
        }
        changes
    }

    /// Applies the times in milliseconds since hosts were heard, by the digests of their names.
    fn apply_ages(&mut self, ages: &[(u32, u16)], now: instant::Instant) {
        let ages: collections::HashMap<u32, u16> = ages.iter().copied().collect();
        if ages.is_empty() {
            return;
        }
        for peer in self.members.values_mut() {
            let digest = hash::digest(peer.member.host.as_str());
            let Some(age) = ages.get(&digest) else {
                continue;
            };
            let at = now.before(time::Duration::from_millis((*age).into()));
            if at > peer.heard_at {
                peer.heard_at = at;
                peer.via = peer::Via::Relay;
            }
        }
    }

    /// Applies a host's description of itself, sent without its demand.
    pub fn apply_member(&mut self, member: &report::Member, now: instant::Instant) -> MemberChange {
        self.update_member(member, now, peer::Via::Report, now)
    }

    /// Records a host's description of itself from `at`, unless a newer one is known.
    fn update_member(
        &mut self,
        member: &report::Member,
        at: instant::Instant,
        via: peer::Via,
        now: instant::Instant,
    ) -> MemberChange {
        let Some(peer) = self.members.get_mut(&member.host) else {
            let peer = peer::Peer {
                member: member.clone(),
                heard_at: at,
                changed_at: now,
                via,
                report: None,
            };
            self.members.insert(member.host.clone(), peer);
            return MemberChange::Joined;
        };
        if at < peer.heard_at {
            return MemberChange::Same;
        }
        let was_live = peer.is_live(now);
        let is_same =
            peer.member.phase == member.phase && peer.member.incarnation == member.incarnation;
        if !was_live || !is_same || peer.member.store_access != member.store_access {
            peer.changed_at = now;
        }
        peer.member.clone_from(member);
        peer.heard_at = at;
        peer.via = via;
        match (was_live, is_same) {
            (false, _) => MemberChange::Joined,
            (true, true) => MemberChange::Same,
            (true, false) => MemberChange::Changed,
        }
    }

    /// Removes and returns the hosts that were silent for [`Self::FORGET_TIMEOUT`].
    pub fn expire(&mut self, now: instant::Instant) -> Vec<name::Host> {
        let forgotten: Vec<name::Host> = self
            .members
            .iter()
            .filter(|(_host, peer)| now.since(peer.heard_at) >= Self::FORGET_TIMEOUT)
            .map(|(host, _peer)| host.clone())
            .collect();
        for host in &forgotten {
            self.members.remove(host);
        }
        forgotten
    }

    /// Returns the live hosts in order of their names.
    pub fn live(&self, now: instant::Instant) -> impl Iterator<Item = &report::Member> {
        let recent = self.members.values();
        recent
            .filter(move |peer| peer.is_live(now))
            .map(|peer| &peer.member)
    }

    /// Returns the live other hosts of a zone in order of their names.
    pub fn zone_peers<'a, 'b>(
        &'a self,
        zone: &'b name::Zone,
        now: instant::Instant,
    ) -> impl Iterator<Item = &'a report::Member> + use<'a, 'b> {
        self.live(now).filter(move |member| member.zone == *zone)
    }

    /// Returns the live other hosts of a zone in the relay order, by the digests of their names.
    fn ordered_zone_peers(&self, zone: &name::Zone, now: instant::Instant) -> Vec<&report::Member> {
        let mut zone_peers: Vec<&report::Member> = self.zone_peers(zone, now).collect();
        zone_peers.sort_by_key(|member| hash::digest(member.host.as_str()));
        zone_peers
    }

    /// Returns a host's position among the live hosts in the relay order.
    #[must_use]
    pub fn position(&self, own: &name::Host, now: instant::Instant) -> usize {
        hosts_before(own, self.live(now))
    }

    /// Returns a host's position among the live hosts of a zone in the relay order.
    #[must_use]
    pub fn zone_position(
        &self,
        zone: &name::Zone,
        own: &name::Host,
        now: instant::Instant,
    ) -> usize {
        hosts_before(own, self.zone_peers(zone, now))
    }

    /// Returns whether a live host of the own zone with store access precedes this one in the
    /// relay order.
    ///
    /// A host that is still starting does not pass on what it reads, so it counts only for
    /// others that are. Two hosts that read at once do no harm: what they read is the same.
    #[must_use]
    pub fn has_store_reader(
        &self,
        own: &dispatcher::Identity,
        phase: report::Phase,
        now: instant::Instant,
    ) -> bool {
        let readers = self.zone_peers(&own.zone, now).filter(|member| {
            let passes_on = member.phase != report::Phase::Starting || phase == member.phase;
            passes_on && member.store_access == report::StoreAccess::Available
        });
        hosts_before(&own.host, readers) > 0
    }

    /// Returns the last report that this host sent.
    #[must_use]
    pub const fn own_report(&self) -> Option<&report::Report> {
        self.own_report.as_ref()
    }

    /// Returns the relays of a zone among the other hosts, in the relay order.
    ///
    /// More relays than needed do no harm: what they tell replaces what was told, by its age.
    #[must_use]
    pub fn zone_relays(&self, zone: &name::Zone, now: instant::Instant) -> Vec<&report::Member> {
        let mut relays = self.ordered_zone_peers(zone, now);
        relays.truncate(Self::RELAYS_PER_ZONE);
        relays
    }

    /// Returns the relays of every other availability zone, with their positions in their zone.
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

    /// Builds the summary of this host's zone, its own report included.
    #[must_use]
    pub fn summarize(
        &self,
        own: &report::Report,
        scope: fleet_view::Scope,
        has_loads: bool,
        now: instant::Instant,
    ) -> zone_summary::ZoneSummary {
        let zone = &own.member.zone;
        let zone_peers = || self.zone_reports(zone, Self::LIVENESS_TIMEOUT, now);
        let hosts = || zone_peers().map(|(peer, _report)| peer);
        let mut crashes: collections::BTreeSet<_> = own.crashes.iter().cloned().collect();
        for (_peer, report) in zone_peers() {
            crashes.extend(report.crashes.iter().cloned());
        }
        zone_summary::ZoneSummary {
            zone: zone.clone(),
            members: peer::describe(hosts(), own, scope, now),
            ages: peer::ages(hosts(), scope, now),
            demand: self.zone_demand(own, now).into_demand(has_loads),
            crashes: crashes.into_iter().collect(),
        }
    }

    /// Returns whether a zone has so many live hosts that they report to their relays only.
    #[must_use]
    pub fn is_large_zone(&self, zone: &name::Zone, now: instant::Instant) -> bool {
        self.zone_peers(zone, now).count() >= Self::MIN_RELAYED_HOSTS
    }

    /// Returns whether a host must request a full view because no relay of its zone sent one recently.
    #[must_use]
    pub fn is_view_needed(
        &self,
        zone: &name::Zone,
        own: &name::Host,
        now: instant::Instant,
    ) -> bool {
        self.lacks_view(now) && self.zone_position(zone, own, now) > 0
    }

    /// Returns whether a host sends views to its zone.
    ///
    /// The first relay does, and the second one while no views of the first arrive.
    #[must_use]
    pub fn is_view_publisher(
        &self,
        zone: &name::Zone,
        own: &name::Host,
        now: instant::Instant,
    ) -> bool {
        match self.zone_position(zone, own, now) {
            0 => true,
            position => position < Self::RELAYS_PER_ZONE && self.lacks_view(now),
        }
    }

    /// Returns the hosts to which a host sends a view that it built or forwards one it received.
    ///
    /// A large zone uses a tree of two levels: the publishing relay sends to the next few hosts in
    /// the relay order, and each of these forwards to a group of the others. So no host's link
    /// carries a view to every host.
    #[must_use]
    pub fn view_recipients(
        &self,
        zone: &name::Zone,
        own: &name::Host,
        now: instant::Instant,
    ) -> Vec<&report::Member> {
        let zone_peers = self.ordered_zone_peers(zone, now);
        let is_publisher = self.is_view_publisher(zone, own, now);
        if zone_peers.len() < Self::MIN_RELAYED_HOSTS {
            return if is_publisher { zone_peers } else { Vec::new() };
        }
        let groups = zone_peers.len().isqrt();
        // This host is not in `zone_peers`, so the positions after its own are shifted by one.
        let position = self.zone_position(zone, own, now);
        let positions = (0..).filter(|other| *other != position);
        let is_recipient = |other: usize| match (is_publisher, position) {
            (true, _) => other <= groups,
            (false, 1..) => {
                position <= groups && other > groups && other % groups == position % groups
            }
            (false, _) => false,
        };
        let numbered = zone_peers.into_iter().zip(positions);
        numbered
            .filter(|(_member, other)| is_recipient(*other))
            .map(|(member, _other)| member)
            .collect()
    }

    fn lacks_view(&self, now: instant::Instant) -> bool {
        let view = self.last_view.as_ref();
        view.is_none_or(|view| now.since(view.at) >= Self::VIEW_TIMEOUT)
    }

    /// Sets the last report that this host sent.
    pub fn set_own_report(&mut self, own: &report::Report) {
        self.own_report = Some(own.clone());
    }

    /// Sets this host's description of itself, sent without its demand.
    pub fn set_own_member(&mut self, own: &report::Member) {
        if let Some(report) = &mut self.own_report {
            report.member.clone_from(own);
        }
    }

    /// Builds a relay's view of the whole fleet for the hosts of its zone.
    #[must_use]
    pub fn view(
        &self,
        own: &report::Report,
        topology: &topology::Topology,
        scope: fleet_view::Scope,
        has_cross_region_loads: bool,
        now: instant::Instant,
    ) -> fleet_view::FleetView {
        let zone = &own.member.zone;
        let live = || self.members.values().filter(|peer| peer.is_live(now));
        let own_region = topology.region(zone);
        let mut regions: collections::BTreeMap<&name::Region, report::Total> =
            collections::BTreeMap::new();
        for remote in self.other_zones_demand(zone, topology, Self::LIVENESS_TIMEOUT, now) {
            if let Some(region) = remote.region {
                regions.entry(region).or_default().add(remote.demand);
            }
        }
        let is_large = self.is_large_zone(zone, now);
        let zone_demand = is_large.then(|| self.zone_demand(own, now).into_demand(true));
        fleet_view::FleetView {
            zone: zone.clone(),
            hosts: u32::try_from(self.members.len()).unwrap_or(u32::MAX),
            members: peer::describe(live(), own, scope, now),
            ages: peer::ages(live(), scope, now),
            region_demand: regions
                .into_iter()
                .map(|(region, total)| {
                    let has_loads = has_cross_region_loads || Some(region) == own_region;
                    (region.clone(), total.into_demand(has_loads))
                })
                .collect(),
            zone_demand,
            crashes: own.crashes.clone(),
        }
    }

    /// Applies a view of a relay of this zone; returns each described host and its change.
    pub fn apply_view(
        &mut self,
        view: fleet_view::FleetView,
        now: instant::Instant,
    ) -> Vec<(report::Member, MemberChange)> {
        let changes = self.apply_members(view.members, now);
        self.apply_ages(&view.ages, now);
        let previous = self.last_view.take().map(|view| view.region_demand);
        let mut previous = previous.unwrap_or_default();
        let remote = view.region_demand.into_iter().map(|(region, demand)| {
            let last = previous.remove(&region).map(|sum| sum.demand);
            let demand = demand.with_loads_of(last);
            (region, Sum { demand, at: now })
        });
        let regions = remote.collect();
        self.last_view = Some(LastView {
            at: now,
            hosts: usize::try_from(view.hosts).unwrap_or(usize::MAX),
            region_demand: regions,
            zone_demand: view.zone_demand.map(|all| match &self.own_report {
                Some(own) => all.without(&own.demand),
                None => all,
            }),
        });
        changes
    }

    /// Returns the demand at other hosts, at most `max_age` old; no host counts twice.
    #[must_use]
    pub fn remote_demand<'a>(
        &'a self,
        own: &'a name::Zone,
        topology: &'a topology::Topology,
        max_age: time::Duration,
        now: instant::Instant,
    ) -> Vec<RemoteDemand<'a>> {
        let region = topology.region(own);
        let view = self
            .last_view
            .as_ref()
            .filter(|view| now.since(view.at) < max_age);
        let zone_demand = view.and_then(|view| view.zone_demand.as_ref());
        let remote = |demand, is_summed| RemoteDemand {
            region,
            demand,
            is_summed,
        };
        let mut all: Vec<RemoteDemand<'a>> = if let Some(zone_demand) = zone_demand {
            vec![remote(zone_demand, true)]
        } else {
            let reports = self.zone_reports(own, max_age, now);
            reports
                .map(|(_peer, report)| remote(&report.demand, false))
                .collect()
        };
        if let Some(view) = view {
            all.extend(view.region_demand.iter().map(|(region, sum)| RemoteDemand {
                region: Some(region),
                demand: &sum.demand,
                is_summed: true,
            }));
        } else {
            all.extend(self.other_zones_demand(own, topology, max_age, now));
        }
        all
    }

    /// Returns the hosts of a zone with a direct report at most `max_age` old, and these reports.
    fn zone_reports<'a, 'b>(
        &'a self,
        zone: &'b name::Zone,
        max_age: time::Duration,
        now: instant::Instant,
    ) -> impl Iterator<Item = (&'a peer::Peer, &'a report::Report)> + use<'a, 'b> {
        let members = self.members.values();
        members
            .filter(move |peer| peer.member.zone == *zone)
            .filter_map(move |peer| Some((peer, peer.recent_report(now, max_age)?)))
    }

    /// Adds up the demand of this host's zone, its own included.
    fn zone_demand(&self, own: &report::Report, now: instant::Instant) -> report::Total {
        let mut total = report::Total::default();
        total.add(&own.demand);
        for (_peer, report) in self.zone_reports(&own.member.zone, Self::LIVENESS_TIMEOUT, now) {
            total.add(&report.demand);
        }
        total
    }

    /// Returns the demand of the other zones, from their relays' sums or from direct reports.
    fn other_zones_demand<'a>(
        &'a self,
        own: &name::Zone,
        topology: &'a topology::Topology,
        max_age: time::Duration,
        now: instant::Instant,
    ) -> Vec<RemoteDemand<'a>> {
        let max_sum_age = max_age.max(Self::RELAYED_LIVENESS_TIMEOUT);
        let newest = |zone: &name::Zone| {
            let remote = self
                .members
                .values()
                .filter(|peer| peer.member.zone == *zone);
            remote
                .filter_map(|peer| peer.report.as_ref().map(|(_report, at)| *at))
                .max()
        };
        let summed: collections::BTreeMap<&name::Zone, &report::Demand> = self
            .zone_sums
            .iter()
            .filter(|(zone, sum)| *zone != own && now.since(sum.at) < max_sum_age)
            .filter(|(zone, sum)| {
                newest(zone).is_none_or(|at| at.since(sum.at) < Self::MAX_SUM_LAG)
            })
            .map(|(zone, sum)| (zone, &sum.demand))
            .collect();
        let remote = |zone, demand, is_summed| RemoteDemand {
            region: topology.region(zone),
            demand,
            is_summed,
        };
        let reports = self.members.values();
        let direct = reports
            .filter_map(|peer| peer.recent_report(now, max_age))
            .filter(|report| report.member.zone != *own)
            .filter(|report| !summed.contains_key(&report.member.zone))
            .map(|report| remote(&report.member.zone, &report.demand, false));
        let sums = summed.iter();
        sums.map(|(zone, demand)| remote(zone, demand, true))
            .chain(direct)
            .collect()
    }

    /// Returns the number of other hosts that are not forgotten, as known here or by a relay.
    #[must_use]
    pub fn host_count(&self, now: instant::Instant) -> usize {
        let view = self.last_view.as_ref();
        let view = view.filter(|view| now.since(view.at) < Self::FORGET_TIMEOUT);
        let known = self.members.len();
        view.map_or(known, |view| view.hosts.max(known))
    }
}

/// Returns how many members precede a host in the relay order, by the digests of their names.
fn hosts_before<'a>(own: &name::Host, members: impl Iterator<Item = &'a report::Member>) -> usize {
    let own = hash::digest(own.as_str());
    let others = members.map(|member| hash::digest(member.host.as_str()));
    others.filter(|other| *other < own).count()
}
