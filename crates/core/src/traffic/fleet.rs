//! The entry hosts that this host hears.

use std::collections;
use std::time;

use crate::instant;
use crate::name;

use super::hash;
use super::report;
use super::summary;

/// The entry hosts that were heard lately, with what they last told.
#[derive(Debug, Default)]
pub struct Fleet {
    members: collections::BTreeMap<name::Host, Heard>,
    sums: collections::BTreeMap<name::Zone, Sum>,
}

/// A host that was heard.
#[derive(Debug)]
struct Heard {
    member: report::Member,
    /// When it told this of itself.
    at: instant::Instant,
    via: Via,
    /// Its last own report, and when it came.
    told: Option<(report::Report, instant::Instant)>,
}

/// How a host was heard last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Via {
    Report,
    Relay,
}

/// The demand of an availability zone's hosts together.
#[derive(Debug)]
struct Sum {
    demand: report::Demand,
    at: instant::Instant,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// The host was not known or was silent before.
    Joined,
    /// The host began another phase or another life.
    Changed,
    /// Nothing but figures.
    Same,
}

impl Heard {
    fn is_live(&self, now: instant::Instant) -> bool {
        let silence = match self.via {
            Via::Report => Fleet::SILENCE,
            Via::Relay => Fleet::RELAYED_SILENCE,
        };
        now.since(self.at) < silence
    }

    /// Returns its own report if that came lately.
    fn report(
        &self,
        now: instant::Instant,
        most: time::Duration,
    ) -> Option<(&report::Report, time::Duration)> {
        let (report, at) = self.told.as_ref()?;
        let age = now.since(*at);
        (age < most).then_some((report, age))
    }
}

impl Fleet {
    /// Silence after which a host counts as gone; more than three reports at their usual pace.
    pub const SILENCE: time::Duration = time::Duration::from_millis(1_750);
    /// The same for a host of which relays tell, at their slowest pace and with one message lost.
    pub const RELAYED_SILENCE: time::Duration = time::Duration::from_secs(3);
    /// Silence after which a host's part of the shares is given to the others.
    pub const FORGOTTEN: time::Duration = time::Duration::from_secs(30);
    /// Relays of an availability zone; the second one stands in when the first one fails.
    pub const RELAYS: usize = 2;
    /// Time by which own reports may be newer than their zone's sum, which then still counts.
    const SUM_LAG: time::Duration = time::Duration::from_millis(600);

    /// Takes in a host's own report.
    pub fn hear(&mut self, report: report::Report, now: instant::Instant) -> News {
        let news = self.note(&report.member, now, Via::Report, now);
        if let Some(heard) = self.members.get_mut(&report.member.host) {
            heard.told = Some((report, now));
        }
        news
    }

    /// Takes in what a relay tells of its zone; returns the hosts of which that is news.
    pub fn hear_summary(
        &mut self,
        summary: summary::Summary,
        now: instant::Instant,
    ) -> Vec<(report::Member, News)> {
        let mut all = Vec::new();
        for (member, age) in summary.members {
            let at = now.before(time::Duration::from_millis(age.into()));
            let news = self.note(&member, at, Via::Relay, now);
            if news != News::Same {
                all.push((member, news));
            }
        }
        let demand = summary.demand;
        self.sums.insert(summary.zone, Sum { demand, at: now });
        all
    }

    fn note(
        &mut self,
        member: &report::Member,
        at: instant::Instant,
        via: Via,
        now: instant::Instant,
    ) -> News {
        let Some(heard) = self.members.get_mut(&member.host) else {
            let heard = Heard {
                member: member.clone(),
                at,
                via,
                told: None,
            };
            self.members.insert(member.host.clone(), heard);
            return News::Joined;
        };
        if at < heard.at {
            return News::Same;
        }
        let was_live = heard.is_live(now);
        let is_same = heard.member.phase == member.phase && heard.member.life == member.life;
        heard.member.clone_from(member);
        heard.at = at;
        heard.via = via;
        match (was_live, is_same) {
            (false, _) => News::Joined,
            (true, true) => News::Same,
            (true, false) => News::Changed,
        }
    }

    /// Forgets hosts that have long been silent; returns them.
    pub fn expire(&mut self, now: instant::Instant) -> Vec<name::Host> {
        let gone: Vec<name::Host> = self
            .members
            .iter()
            .filter(|(_host, heard)| now.since(heard.at) >= Self::FORGOTTEN)
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

    /// Returns how many live hosts come before a host in an order that all hosts share.
    #[must_use]
    pub fn place(&self, own: &name::Host, now: instant::Instant) -> usize {
        before(own, self.live(now))
    }

    /// Returns how many live hosts of a zone come before a host in the order that all share.
    #[must_use]
    pub fn place_in(&self, zone: &name::Zone, own: &name::Host, now: instant::Instant) -> usize {
        before(own, self.live(now).filter(|member| member.zone == *zone))
    }

    /// Returns whether a live host of the zone, before this one in the order, gets answers of the store.
    #[must_use]
    pub fn has_reader(&self, zone: &name::Zone, own: &name::Host, now: instant::Instant) -> bool {
        let readers = self
            .live(now)
            .filter(|member| member.zone == *zone && member.store == report::StoreAccess::Reached);
        before(own, readers) > 0
    }

    /// Returns the relays of every other availability zone.
    #[must_use]
    pub fn relays(&self, own: &name::Zone, now: instant::Instant) -> Vec<&report::Member> {
        let mut zones: collections::BTreeMap<&name::Zone, Vec<&report::Member>> =
            collections::BTreeMap::new();
        for member in self.live(now).filter(|member| member.zone != *own) {
            zones.entry(&member.zone).or_default().push(member);
        }
        for members in zones.values_mut() {
            members.sort_by_key(|member| hash::digest(member.host.as_str()));
            members.truncate(Self::RELAYS);
        }
        zones.into_values().flatten().collect()
    }

    /// Adds up what the hosts of a host's own zone told, its own report included.
    #[must_use]
    pub fn summarize(&self, own: &report::Report, now: instant::Instant) -> summary::Summary {
        let zone = &own.member.zone;
        let others = self.members.values();
        let reports = others
            .filter(|heard| heard.member.zone == *zone)
            .filter_map(|heard| heard.report(now, Self::SILENCE));
        let own = std::iter::once((own, time::Duration::ZERO));
        summary::Summary::new(zone, reports.chain(own))
    }

    /// Returns the demand at other hosts as told within `most`, with their zones; no host counts twice.
    pub fn demands(
        &self,
        own: &name::Zone,
        most: time::Duration,
        now: instant::Instant,
    ) -> impl Iterator<Item = (&name::Zone, &report::Demand)> {
        let newest = |zone: &name::Zone| {
            let told = self.members.values().filter(|h| h.member.zone == *zone);
            told.filter_map(|h| h.told.as_ref().map(|(_report, at)| *at))
                .max()
        };
        let summed: collections::BTreeMap<&name::Zone, &report::Demand> = self
            .sums
            .iter()
            .filter(|(zone, sum)| *zone != own && now.since(sum.at) < most)
            .filter(|(zone, sum)| newest(zone).is_none_or(|at| at.since(sum.at) < Self::SUM_LAG))
            .map(|(zone, sum)| (zone, &sum.demand))
            .collect();
        let single: Vec<(&name::Zone, &report::Demand)> = self
            .members
            .values()
            .filter_map(|heard| Some(heard.report(now, most)?.0))
            .map(|report| (&report.member.zone, &report.demand))
            .filter(|(zone, _demand)| !summed.contains_key(zone))
            .collect();
        summed.into_iter().chain(single)
    }

    /// Returns every host that is not forgotten, with the time since it was heard.
    pub fn known(
        &self,
        now: instant::Instant,
    ) -> impl Iterator<Item = (&report::Member, time::Duration)> {
        self.members
            .values()
            .map(move |heard| (&heard.member, now.since(heard.at)))
    }
}

/// Returns how many members come before a host in an order that all hosts share.
fn before<'a>(own: &name::Host, members: impl Iterator<Item = &'a report::Member>) -> usize {
    let own = hash::digest(own.as_str());
    let others = members.map(|member| hash::digest(member.host.as_str()));
    others.filter(|other| *other < own).count()
}
