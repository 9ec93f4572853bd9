//! What targets say in their answers of the requests that they want: limits, pauses, and that they
//! leave.

use std::collections;
use std::time;

use crate::instant;
use crate::name;

use super::hash;
use super::limit_report;
use super::senders;
use super::target;
use super::target_limit;
use super::topology;

/// Fewest hosts that divide a target's limit, if its region has so many. One host alone would
/// leave twice the limit while two hosts disagree about which of them it is.
const MIN_SENDERS: f64 = 3.0;
/// Further hosts that divide a limit, per request and second of it. What all of them may have saved
/// up then stays within what a target bears beyond its limit.
const SENDERS_PER_RATE: f64 = 0.5;
/// Limits in one message at most, so that it fits a datagram; others follow in the next one.
const MAX_NOTICES: usize = 3_000;
/// Seconds in which a target's requests are counted against its limit.
const WINDOW_SECONDS: f64 = 4.0;
/// Ratio of its limit that a target bears in such a time, beside [`BORNE_REQUESTS`].
const BORNE_RATIO: f64 = 1.5;
/// Requests beyond that ratio which it bears.
const BORNE_REQUESTS: f64 = 5.0;
/// Seconds of its rate that a sender may save up at least, beside one request.
const MIN_SAVED_SECONDS: f64 = 0.1;
/// Longest pause that one answer of a target brings about, unless the target restarts before.
const MAX_PAUSE: time::Duration = time::Duration::from_hours(24);
/// Least rate of a sender in requests per second, by which the end of a limit is found out.
const PROBE_RATE: f64 = 0.1;

/// What targets say in their answers of the requests that they want.
///
/// A pause is meant for one host, and a target that leaves tells each host itself. A limit binds
/// all hosts together, and no message stands on a request's path. So a few hosts of the target's
/// region, chosen by rendezvous hashing, divide the limit, and the others leave the target out.
/// What one host hears of a limit it tells the others; of two statements of a target the one that
/// it made later counts.
#[derive(Debug)]
pub struct TargetLimits {
    host: name::Host,
    targets: collections::HashMap<name::Target, Entry>,
    /// Targets by the digests of their names and starts.
    digests: collections::HashMap<u32, name::Target>,
}

#[derive(Debug)]
struct Entry {
    zone: name::Zone,
    started_millis: Option<u64>,
    digest: u32,
    /// Difference between hosts in when a limit ends that nobody repeats, from 0 to 1.
    spread: f64,
    limit: Option<target_limit::TargetLimit>,
    /// Whether the target said that it leaves.
    is_leaving: bool,
    /// Until when the target wants nothing from this host.
    paused_until: instant::Instant,
}

impl Entry {
    fn new(host: &name::Host, target: &target::Target) -> Self {
        let key = hash::HashKey::new("limit", target.id.as_str().as_bytes());
        Self {
            zone: target.zone.clone(),
            started_millis: target.started_millis,
            digest: digest(target),
            spread: key.fraction(host.as_str()),
            limit: None,
            is_leaving: false,
            paused_until: instant::Instant::ORIGIN,
        }
    }

    fn rate(&self, now: instant::Instant) -> Option<f64> {
        self.limit.as_ref()?.rate(self.spread, now)
    }

    /// Applies a statement; returns whether the limit changed.
    fn apply(&mut self, statement: target_limit::Statement, now: instant::Instant) -> bool {
        match &mut self.limit {
            Some(limit) => limit.apply(statement, now),
            None if statement.rate.is_none() => false,
            None => {
                self.limit = Some(target_limit::TargetLimit::new(statement, now));
                true
            }
        }
    }
}

/// The hosts among which limits are divided.
#[derive(Clone, Copy, Debug)]
pub struct Hosts<'a> {
    /// The availability zones and their regions.
    pub topology: &'a topology::Topology,
    /// Names and zones of the live hosts, this one included.
    pub live: &'a [(&'a name::Host, &'a name::Zone)],
    /// Whether most of the other hosts are silent.
    pub is_isolated: bool,
}

impl TargetLimits {
    /// Creates the limits at a host that knows no targets yet.
    #[must_use]
    pub fn new(host: name::Host) -> Self {
        Self {
            host,
            targets: collections::HashMap::new(),
            digests: collections::HashMap::new(),
        }
    }

    /// Replaces the set of targets; the limit of a target that has restarted is dropped.
    pub fn set_targets(&mut self, targets: &[target::Target]) {
        let is_known = |target: &target::Target| {
            let known = self.targets.get(&target.id);
            known.is_some_and(|entry| entry.started_millis == target.started_millis)
        };
        // Most changes of the table concern neither the set nor the starts of targets.
        if self.targets.len() == targets.len() && targets.iter().all(is_known) {
            return;
        }
        let mut previous = std::mem::take(&mut self.targets);
        self.digests.clear();
        for target in targets {
            let known = previous.remove(&target.id);
            let known = known.filter(|entry| entry.started_millis == target.started_millis);
            let entry = known.unwrap_or_else(|| Entry::new(&self.host, target));
            self.digests.insert(entry.digest, target.id.clone());
            self.targets.insert(target.id.clone(), entry);
        }
    }

    /// Records the limit in requests per second that a target named in an answer, or that it named
    /// none; returns whether it changed.
    pub fn observe(
        &mut self,
        target: &name::Target,
        rate: Option<f64>,
        now: instant::Instant,
    ) -> bool {
        let statement = target_limit::Statement {
            rate,
            at: now,
            origin: target_limit::Origin::Target,
        };
        let entry = self.targets.get_mut(target);
        entry.is_some_and(|entry| entry.apply(statement, now))
    }

    /// Applies what another host tells; returns whether any limit changed.
    pub fn apply(&mut self, report: &limit_report::LimitReport, now: instant::Instant) -> bool {
        let origin = match report.audience {
            limit_report::Audience::Peers => target_limit::Origin::Zone,
            limit_report::Audience::NearRelays
            | limit_report::Audience::FarRelays
            | limit_report::Audience::Zone => target_limit::Origin::Relay,
        };
        let mut is_changed = false;
        for notice in &report.notices {
            let id = self.digests.get(&notice.target);
            let rate = notice.rate.map(f64::from);
            let is_valid = rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0);
            let Some(entry) = id
                .and_then(|id| self.targets.get_mut(id))
                .filter(|_e| is_valid)
            else {
                continue;
            };
            let statement = target_limit::Statement {
                rate,
                at: now.before(time::Duration::from_millis(notice.age.into())),
                origin,
            };
            is_changed |= entry.apply(statement, now);
        }
        is_changed
    }

    /// Returns what this host tells others in a round of reports; `None` if there is nothing to tell.
    pub fn report(
        &mut self,
        audience: limit_report::Audience,
        now: instant::Instant,
    ) -> Option<limit_report::LimitReport> {
        let limited = self.targets.values_mut().filter_map(|entry| {
            let limit = entry.limit.as_mut()?;
            let is_told = limit.tell(audience, now);
            is_told.then(|| limit.notice(entry.digest, now)).flatten()
        });
        let notices: Vec<limit_report::LimitNotice> = limited.take(MAX_NOTICES).collect();
        (!notices.is_empty()).then_some(limit_report::LimitReport { audience, notices })
    }

    /// Returns all limits that hold, for a host that knows none yet; `None` if there are none.
    #[must_use]
    pub fn full_report(&self, now: instant::Instant) -> Option<limit_report::LimitReport> {
        let limited = self.targets.values().filter_map(|entry| {
            entry.rate(now)?;
            entry.limit.as_ref()?.notice(entry.digest, now)
        });
        let notices: Vec<limit_report::LimitNotice> = limited.take(MAX_NOTICES).collect();
        let audience = limit_report::Audience::Zone;
        (!notices.is_empty()).then_some(limit_report::LimitReport { audience, notices })
    }

    /// Recomputes this host's shares where a limit or the hosts have changed.
    pub fn update_shares(&mut self, hosts: Hosts<'_>, now: instant::Instant) {
        let own = self.host.as_str();
        let mut regions: collections::BTreeMap<Option<&name::Region>, Region<'_>> =
            collections::BTreeMap::new();
        for entry in self.targets.values_mut() {
            let (Some(rate), Some(limit)) = (
                entry.limit.as_ref().and_then(|l| l.rate(entry.spread, now)),
                &mut entry.limit,
            ) else {
                continue;
            };
            let region = hosts.topology.region(&entry.zone);
            let region = regions
                .entry(region)
                .or_insert_with(|| Region::new(hosts, region));
            let basis = (region.digest, rate);
            if limit.is_share_of(basis) {
                continue;
            }
            let most = super::processing_time::to_u64(MIN_SENDERS + rate * SENDERS_PER_RATE);
            let most = usize::try_from(most).unwrap_or(usize::MAX);
            let target = entry.digest.to_le_bytes();
            let senders = senders::count_with("limit", &target, &region.hosts, own, most);
            let share = senders.map_or(target_limit::Share::NONE, |n| share(rate, n));
            limit.set_share(share, basis, hosts.is_isolated, now);
        }
    }

    /// Returns a target's limit in requests per second from all hosts together, if it has one.
    #[must_use]
    pub fn rate(&self, target: &name::Target, now: instant::Instant) -> Option<f64> {
        self.targets.get(target)?.rate(now)
    }

    /// Records that a target said that it leaves; returns whether that is new.
    ///
    /// It holds for this run of the target, whatever the table of targets says.
    pub fn record_leaving(&mut self, target: &name::Target) -> bool {
        let entry = self.targets.get_mut(target);
        entry.is_some_and(|entry| !std::mem::replace(&mut entry.is_leaving, true))
    }

    /// Records that a target wants nothing from this host for a time, at most [`MAX_PAUSE`].
    pub fn record_pause(
        &mut self,
        target: &name::Target,
        pause: time::Duration,
        now: instant::Instant,
    ) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.paused_until = entry.paused_until.max(now + pause.min(MAX_PAUSE));
        }
    }

    /// Returns whether a target said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, target: &name::Target) -> bool {
        let entry = self.targets.get(target);
        entry.is_some_and(|entry| entry.is_leaving)
    }

    /// Returns how long a target still wants nothing from this host.
    #[must_use]
    pub fn pause(&self, target: &name::Target, now: instant::Instant) -> time::Duration {
        let entry = self.targets.get(target);
        entry.map_or(time::Duration::ZERO, |entry| entry.paused_until.since(now))
    }

    /// Returns whether this host may send a request to a target now.
    #[must_use]
    pub fn has_room(&self, target: &name::Target, now: instant::Instant) -> bool {
        let Some(entry) = self.targets.get(target) else {
            return true;
        };
        if entry.is_leaving || now < entry.paused_until {
            return false;
        }
        let limit = entry.limit.as_ref();
        let limit = limit.filter(|_limit| entry.rate(now).is_some());
        limit.is_none_or(|limit| limit.has_token(now))
    }

    /// Counts a request that is sent to a target against this host's share.
    pub fn record_send(&mut self, target: &name::Target, now: instant::Instant) {
        let entry = self.targets.get_mut(target);
        if let Some(limit) = entry.and_then(|entry| entry.limit.as_mut()) {
            limit.take(now);
        }
    }

    /// Returns the token of a request that was not sent after all.
    pub fn record_unsent(&mut self, target: &name::Target) {
        let entry = self.targets.get_mut(target);
        if let Some(limit) = entry.and_then(|entry| entry.limit.as_mut()) {
            limit.put_back();
        }
    }

    /// Returns the number of limited targets.
    #[must_use]
    pub fn limited(&self, now: instant::Instant) -> usize {
        let limited = self.targets.values();
        limited.filter(|entry| entry.rate(now).is_some()).count()
    }
}

/// The hosts that may send to the targets of a region.
#[derive(Debug)]
struct Region<'a> {
    hosts: Vec<&'a str>,
    digest: u64,
}

impl<'a> Region<'a> {
    /// Selects the hosts of a region, or all if it has none.
    fn new(hosts: Hosts<'a>, region: Option<&name::Region>) -> Self {
        let all = || hosts.live.iter();
        let near = all().filter(|(_host, zone)| hosts.topology.region(zone) == region);
        let mut names: Vec<&str> = near.map(|(host, _zone)| host.as_str()).collect();
        if names.is_empty() {
            names = all().map(|(host, _zone)| host.as_str()).collect();
        }
        names.sort_unstable();
        Self {
            digest: hash::fingerprint(names.iter().map(|name| name.as_bytes())),
            hosts: names,
        }
    }
}

/// Returns the share of each of a limit's senders.
///
/// In [`WINDOW_SECONDS`] all senders and one more together stay within what a target bears. Where
/// only one or two hosts can send, a tenth of a second of requests may be saved up all the same.
fn share(limit: f64, senders: usize) -> target_limit::Share {
    let senders = f64::from(u32::try_from(senders).unwrap_or(u32::MAX));
    let rate = (limit / senders).max(PROBE_RATE);
    let borne = limit * WINDOW_SECONDS * BORNE_RATIO + BORNE_REQUESTS;
    let burst = borne / (senders + 1.0) - rate * WINDOW_SECONDS;
    let least = 1.0 + rate * MIN_SAVED_SECONDS;
    target_limit::Share {
        rate,
        burst: burst.max(least),
    }
}

/// Returns the digest of a target's name and start.
fn digest(target: &target::Target) -> u32 {
    let started = target
        .started_millis
        .map_or(String::new(), |millis| millis.to_string());
    hash::digest(&format!("{} {started}", target.id))
}
