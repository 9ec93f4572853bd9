//! Look-up answers, rendered in advance for each availability zone.
//!
//! Nearer hosts come first. Equally near hosts take the first place in turn (round robin).

use std::collections;

use bytes::Bytes;
use skylark_core::catalog;
use skylark_core::idempotency;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::control;

/// Time after which answers are rendered again with a new time of issue.
const ISSUE_PERIOD_SECONDS: u64 = 10;

/// Most entry hosts in one answer; bounds its size in a large fleet.
pub const MAX_ANSWER_HOSTS: usize = 12;

/// Body of a look-up answer, as JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// Entry hosts in the order in which the caller tries them, the nearest first.
    pub hosts: Vec<Entry>,
    /// Home host and time of issue, as the prefix for idempotency keys that the caller makes.
    pub home: Option<String>,
    /// Time for which the caller may cache the answer, in milliseconds.
    #[serde(rename = "ttl_ms")]
    pub ttl_millis: u64,
    /// Version of the records from which the answer was rendered.
    pub version: unit::Version,
}

/// Entry host in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Name of the entry host.
    pub host: name::Host,
    /// Availability zone of the entry host.
    pub zone: name::Zone,
    /// Address to which callers send requests.
    pub address: record::Address,
}

/// Rendered answers, several rotations for each availability zone.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    zones: collections::BTreeMap<name::Zone, Vec<Bytes>>,
    issued: u64,
}

impl Answers {
    /// Renders the answers for each zone; `issued` is in seconds since the Unix epoch.
    #[must_use]
    pub fn new(catalog: &catalog::Catalog, hosts: &[control::Host], issued: u64) -> Self {
        let listed: Vec<&control::Host> = hosts
            .iter()
            .filter(|host| is_listed(catalog, host))
            .collect();
        let rotations = |zone: &name::Zone| {
            (
                zone.clone(),
                render_rotations(catalog, &listed, zone, issued),
            )
        };
        Self {
            zones: catalog.zones.keys().map(rotations).collect(),
            issued,
        }
    }

    /// Returns whether the answers are due to be rendered again at `seconds` since the Unix epoch.
    #[must_use]
    pub fn is_expired(&self, seconds: u64) -> bool {
        seconds.abs_diff(self.issued) >= ISSUE_PERIOD_SECONDS
    }

    /// Returns an answer for a caller in the zone, or `None` for an unknown zone.
    ///
    /// Consecutive values of `rotation` put each of the equally near hosts first in turn.
    #[must_use]
    pub fn get(&self, zone: &str, rotation: usize) -> Option<Bytes> {
        let zone = name::Zone::new(zone).ok()?;
        let answers = self.zones.get(&zone)?;
        answers.get(rotation % answers.len().max(1)).cloned()
    }
}

/// Returns whether answers may list a host: it is serving, and no record drains it or its zone.
fn is_listed(catalog: &catalog::Catalog, host: &control::Host) -> bool {
    let is_drained = catalog.drains.iter().any(|drain| match &drain.subject {
        record::Subject::Host(name) | record::Subject::Ended(name) => *name == host.host,
        record::Subject::Zone(zone) => *zone == host.zone,
        record::Subject::Target(_) => false,
    });
    host.phase == control::Phase::Serving && !is_drained
}

/// Renders one answer for each of the nearest hosts, with that host first.
fn render_rotations(
    catalog: &catalog::Catalog,
    hosts: &[&control::Host],
    zone: &name::Zone,
    issued: u64,
) -> Vec<Bytes> {
    let mut sorted = hosts.to_vec();
    sorted.sort_by_key(|host| (distance(catalog, zone, host), host.host.clone()));
    let nearest = sorted.first().map(|host| distance(catalog, zone, host));
    let tied_count = sorted
        .iter()
        .filter(|host| Some(distance(catalog, zone, host)) == nearest)
        .count();
    let (near, far) = sorted.split_at(tied_count);
    let rotate = |rotation: usize| {
        let near = near.iter().cycle().skip(rotation).take(tied_count);
        let far = interleave_zones(far, rotation);
        let near_limit = MAX_ANSWER_HOSTS
            .saturating_sub(far.len())
            .max(MAX_ANSWER_HOSTS / 2);
        let order: Vec<&control::Host> = near
            .take(near_limit)
            .copied()
            .chain(far)
            .take(MAX_ANSWER_HOSTS)
            .collect();
        render_reply(catalog, &order, issued)
    };
    (0..tied_count.max(1)).map(rotate).collect()
}

/// Interleaves hosts by availability zone: each zone comes once before any comes twice.
///
/// `rotation` chooses the host with which each zone begins.
fn interleave_zones<'a>(far: &[&'a control::Host], rotation: usize) -> Vec<&'a control::Host> {
    let mut zones: Vec<Vec<&control::Host>> = Vec::new();
    for host in far {
        match zones.iter_mut().find(|zone| zone[0].zone == host.zone) {
            Some(zone) => zone.push(host),
            None => zones.push(vec![host]),
        }
    }
    for zone in &mut zones {
        let start = rotation % zone.len();
        zone.rotate_left(start);
    }
    let max_len = zones.iter().map(Vec::len).max().unwrap_or(0);
    let rounds =
        (0..max_len).flat_map(|round| zones.iter().filter_map(move |group| group.get(round)));
    rounds.take(MAX_ANSWER_HOSTS).copied().collect()
}

/// Returns the distance of a host from callers in a zone: 0 same zone, 1 same region, 2 elsewhere.
fn distance(catalog: &catalog::Catalog, zone: &name::Zone, host: &control::Host) -> u8 {
    if host.zone == *zone {
        return 0;
    }
    let is_same_region = catalog.zones.get(zone) == catalog.zones.get(&host.zone);
    if is_same_region { 1 } else { 2 }
}

fn render_reply(catalog: &catalog::Catalog, ordered: &[&control::Host], issued: u64) -> Bytes {
    let entry = |host: &&control::Host| Entry {
        host: host.host.clone(),
        zone: host.zone.clone(),
        address: host.ports.entry,
    };
    let ttl = catalog.policy.answer_ttl.get().as_millis();
    let reply = Reply {
        hosts: ordered.iter().map(entry).collect(),
        home: ordered
            .first()
            .map(|host| idempotency::Home::new(&host.incarnation, issued).to_string()),
        ttl_millis: u64::try_from(ttl).unwrap_or(u64::MAX),
        version: catalog.version,
    };
    serde_json::to_vec(&reply).unwrap_or_default().into()
}
