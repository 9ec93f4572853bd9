//! Look-up answers, rendered once for each view and availability zone.

use std::collections;

use bytes::Bytes;
use skylark_core::catalog;
use skylark_core::idempotency;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::control;

/// Time for which answers carry one time of issue, in seconds.
const ISSUE_SECONDS: u64 = 10;

/// Entry hosts that one answer names at most, so that its size does not grow with the fleet.
pub const MAX_ANSWER_HOSTS: usize = 12;

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// Entry hosts, the best first.
    pub hosts: Vec<Entry>,
    /// Home with its time of issue, with which the caller begins its idempotency keys.
    pub home: Option<String>,
    /// Time for which the caller may keep the answer, in milliseconds.
    #[serde(rename = "ttl_ms")]
    pub ttl_millis: u64,
    /// Version of the records behind the answer.
    pub version: unit::Version,
}

/// One entry host of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Name of the entry host.
    pub host: name::Host,
    /// Availability zone of the entry host.
    pub zone: name::Zone,
    /// Address that takes requests.
    pub address: record::Address,
}

/// Rendered answers for callers of each availability zone.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    zones: collections::BTreeMap<name::Zone, Vec<Bytes>>,
    issued: u64,
}

impl Answers {
    /// Renders the answers of a view, `issued` in seconds since the Unix epoch.
    #[must_use]
    pub fn new(catalog: &catalog::Catalog, hosts: &[control::Host], issued: u64) -> Self {
        let serving: Vec<&control::Host> = hosts
            .iter()
            .filter(|host| is_named(catalog, host))
            .collect();
        let render = |zone: &name::Zone| (zone.clone(), rotations(catalog, &serving, zone, issued));
        Self {
            zones: catalog.zones.keys().map(render).collect(),
            issued,
        }
    }

    /// Returns whether the homes' time of issue is out of date at `seconds` since the Unix epoch.
    #[must_use]
    pub fn is_expired(&self, seconds: u64) -> bool {
        seconds.abs_diff(self.issued) >= ISSUE_SECONDS
    }

    /// Returns an answer for a caller of the zone; `turn` spreads callers over equal hosts.
    #[must_use]
    pub fn get(&self, zone: &str, turn: usize) -> Option<Bytes> {
        let zone = name::Zone::new(zone).ok()?;
        let answers = self.zones.get(&zone)?;
        answers.get(turn % answers.len().max(1)).cloned()
    }
}

/// Returns whether look-up answers name a host: it serves and no record drains it.
fn is_named(catalog: &catalog::Catalog, host: &control::Host) -> bool {
    let is_drained = catalog.drains.iter().any(|drain| match &drain.subject {
        record::Subject::Host(name) | record::Subject::Ended(name) => *name == host.host,
        record::Subject::Zone(zone) => *zone == host.zone,
        record::Subject::Target(_) => false,
    });
    host.phase == control::Phase::Serving && !is_drained
}

/// Renders one answer for each host that may come first for the zone.
fn rotations(
    catalog: &catalog::Catalog,
    hosts: &[&control::Host],
    zone: &name::Zone,
    issued: u64,
) -> Vec<Bytes> {
    let mut ranked = hosts.to_vec();
    ranked.sort_by_key(|host| (rank(catalog, zone, host), host.host.clone()));
    let best = ranked.first().map(|host| rank(catalog, zone, host));
    let equals = ranked
        .iter()
        .filter(|host| Some(rank(catalog, zone, host)) == best)
        .count();
    let (near, far) = ranked.split_at(equals);
    let turn = |first: usize| {
        let near = near.iter().cycle().skip(first).take(equals);
        let far = spread(far, first);
        let near_count = MAX_ANSWER_HOSTS
            .saturating_sub(far.len())
            .max(MAX_ANSWER_HOSTS / 2);
        let order: Vec<&control::Host> = near
            .take(near_count)
            .copied()
            .chain(far)
            .take(MAX_ANSWER_HOSTS)
            .collect();
        render(catalog, &order, issued)
    };
    (0..equals.max(1)).map(turn).collect()
}

/// Orders farther hosts so that each availability zone comes once before any comes twice.
fn spread<'a>(far: &[&'a control::Host], first: usize) -> Vec<&'a control::Host> {
    let mut zones: Vec<Vec<&control::Host>> = Vec::new();
    for host in far {
        match zones.iter_mut().find(|zone| zone[0].zone == host.zone) {
            Some(zone) => zone.push(host),
            None => zones.push(vec![host]),
        }
    }
    for zone in &mut zones {
        let turn = first % zone.len();
        zone.rotate_left(turn);
    }
    let longest = zones.iter().map(Vec::len).max().unwrap_or(0);
    let rounds = (0..longest).flat_map(|round| zones.iter().filter_map(move |z| z.get(round)));
    rounds.take(MAX_ANSWER_HOSTS).copied().collect()
}

/// How far a host is from callers of a zone: 0 same zone, 1 same region, 2 elsewhere.
fn rank(catalog: &catalog::Catalog, zone: &name::Zone, host: &control::Host) -> u8 {
    if host.zone == *zone {
        return 0;
    }
    let is_near = catalog.zones.get(zone) == catalog.zones.get(&host.zone);
    if is_near { 1 } else { 2 }
}

fn render(catalog: &catalog::Catalog, order: &[&control::Host], issued: u64) -> Bytes {
    let entry = |host: &&control::Host| Entry {
        host: host.host.clone(),
        zone: host.zone.clone(),
        address: host.ports.entry,
    };
    let ttl = catalog.policy.answer_ttl.get().as_millis();
    let reply = Reply {
        hosts: order.iter().map(entry).collect(),
        home: order
            .first()
            .map(|host| idempotency::Home::new(&host.incarnation, issued).to_string()),
        ttl_millis: u64::try_from(ttl).unwrap_or(u64::MAX),
        version: catalog.version,
    };
    serde_json::to_vec(&reply).unwrap_or_default().into()
}
