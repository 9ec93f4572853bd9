//! Rollout of a version to the availability zones, followed through the zones' heartbeat rows.

use std::collections;
use std::time;

use skylark_core::member;
use skylark_core::name;
use skylark_core::unit;
use skylark_wire::control;
use skylark_wire::platform;

use super::error;
use super::print;

const ZONE_PREFIX: &str = "zone/";
const HOSTS_PREFIX: &str = "hosts/";
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time without a heartbeat after which an availability zone counts as silent.
pub const HEARTBEAT_TIMEOUT: time::Duration = time::Duration::from_secs(7);

/// Heartbeat row of the host that represents a zone; unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
struct Heartbeat {
    report: member::Report,
    oldest: unit::Version,
}

/// Row that lists the entry hosts of a zone; unknown fields are ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize)]
struct HostList {
    hosts: Vec<EntryHost>,
}

/// One incarnation of an entry host: one run of its entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EntryHost {
    /// Name of the entry host.
    pub host: name::Host,
    /// Availability zone of the entry host.
    pub zone: name::Zone,
    /// Name of this run of the entry process.
    pub incarnation: name::Incarnation,
    /// Phase of the entry process, which says whether it accepts new requests.
    pub phase: control::Phase,
}

/// Status of an availability zone, taken from its heartbeat row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct ZoneStatus {
    /// Name of the availability zone.
    pub zone: String,
    /// Incarnation of the entry host that reports for the zone.
    pub member: name::Incarnation,
    /// Oldest version in force on any entry host of the zone.
    pub version: unit::Version,
    /// Whether a new heartbeat was read since the monitor started.
    pub is_heard: bool,
    #[serde(skip)]
    row_version: u64,
}

/// Stage of the rollout of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The change is written; too few zones confirm that it is in force.
    Written,
    /// The change is accepted: no zone whose host still reports can miss it.
    Accepted,
    /// The change is in force in every zone that still sends heartbeats.
    InForce,
}

/// Monitor of the zones' heartbeats over several reads of the table.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    zones: collections::BTreeMap<String, ZoneStatus>,
    reports: Vec<member::Report>,
    roster: member::Roster,
}

impl Monitor {
    /// Returns the availability zones, sorted by name.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneStatus> {
        self.zones.values()
    }

    /// Reads the heartbeats and then the roster, and replaces what was read before.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or the roster cannot be parsed.
    pub async fn refresh<P: platform::Platform>(&mut self, platform: &P) -> error::Result<()> {
        let rows = platform.rows(ZONE_PREFIX).await?;
        let roster = platform.row(member::ROSTER_KEY).await?;
        let previous_zones = std::mem::take(&mut self.zones);
        self.reports.clear();
        for row in rows {
            let Ok(heartbeat) = serde_json::from_value::<Heartbeat>(row.value) else {
                continue;
            };
            let previous = previous_zones.get(&row.key);
            let is_heard =
                previous.is_some_and(|zone| zone.is_heard || zone.row_version < row.version);
            let zone = ZoneStatus {
                zone: row.key.trim_start_matches(ZONE_PREFIX).to_owned(),
                member: heartbeat.report.incarnation.clone(),
                version: heartbeat.oldest,
                is_heard,
                row_version: row.version,
            };
            self.zones.insert(row.key, zone);
            self.reports.push(heartbeat.report);
        }
        let roster = roster.map(|row| serde_json::from_value(row.value));
        self.roster = roster.transpose()?.unwrap_or_default();
        Ok(())
    }

    /// Reads the table until every zone has sent a heartbeat, for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or the roster cannot be parsed.
    pub async fn observe<P: platform::Platform>(
        platform: &P,
        timeout: time::Duration,
    ) -> error::Result<Self> {
        let start = time::Instant::now();
        let mut monitor = Self::default();
        loop {
            monitor.refresh(platform).await?;
            let is_done = monitor.zones().all(|zone| zone.is_heard);
            if is_done || start.elapsed() >= timeout {
                return Ok(monitor);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether a version is accepted.
    ///
    /// A settled roster without members accepts every version: every host that starts later
    /// reads the newest one.
    fn is_accepted(&self, version: unit::Version) -> bool {
        let has_no_members = self.roster.members.is_empty() && self.roster.is_settled();
        has_no_members || self.roster.is_accepted(version, &self.reports)
    }

    /// Returns the zones where a version is not yet in force.
    fn lagging(&self, version: unit::Version) -> Vec<&ZoneStatus> {
        let zones = self.zones();
        zones.filter(|zone| zone.version < version).collect()
    }
}

/// Reads the entry hosts that are listed in the zones' rows.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn hosts<P: platform::Platform>(platform: &P) -> error::Result<Vec<EntryHost>> {
    let rows = platform.rows(HOSTS_PREFIX).await?;
    let lists = rows
        .into_iter()
        .filter_map(|row| serde_json::from_value::<HostList>(row.value).ok());
    Ok(lists.flat_map(|list| list.hosts).collect())
}

/// Waits until a version is in force in every zone that sends heartbeats; returns its stage.
///
/// Waits for at most `timeout`. A failed read does not end the wait, because the change is
/// already written.
pub async fn wait<P: platform::Platform>(
    platform: &P,
    version: unit::Version,
    timeout: time::Duration,
) -> Stage {
    if timeout.is_zero() {
        return Stage::Written;
    }
    let start = time::Instant::now();
    let mut monitor = Monitor::default();
    let mut printed_count = None;
    loop {
        let is_read = monitor.refresh(platform).await.is_ok();
        let is_accepted = is_read && monitor.is_accepted(version);
        let lagging = monitor.lagging(version);
        let has_timed_out = start.elapsed() >= HEARTBEAT_TIMEOUT;
        let is_in_force = lagging.iter().all(|zone| has_timed_out && !zone.is_heard);
        let stage = match (is_accepted, is_in_force) {
            (false, _) => Stage::Written,
            (true, false) => Stage::Accepted,
            (true, true) => Stage::InForce,
        };
        if stage == Stage::InForce || start.elapsed() >= timeout {
            print_lagging(&lagging, has_timed_out);
            return stage;
        }
        if is_read && printed_count != Some(lagging.len()) {
            printed_count = Some(lagging.len());
            print_progress(&monitor, version, &lagging);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn print_progress(monitor: &Monitor, version: unit::Version, lagging: &[&ZoneStatus]) {
    let total = monitor.zones().count();
    let names: Vec<&str> = lagging.iter().map(|zone| zone.zone.as_str()).collect();
    let suffix = if names.is_empty() {
        String::new()
    } else {
        format!(", not yet in {}", names.join(", "))
    };
    print::progress(&format!(
        "version {version} is in force in {} of {total} availability zones{suffix}",
        total - lagging.len()
    ));
}

/// Prints a warning for each zone where the version is not in force.
///
/// A zone that is cut off refuses requests on keyed routes once its records are stale.
fn print_lagging(lagging: &[&ZoneStatus], has_timed_out: bool) {
    for zone in lagging {
        let word = if has_timed_out && !zone.is_heard {
            "silent:"
        } else {
            "behind:"
        };
        let label = print::styled(print::WARNING, word);
        print::progress(&format!(
            "{label} availability zone {} last had version {} in force",
            zone.zone, zone.version
        ));
    }
}
