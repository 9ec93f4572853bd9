//! Availability zones and entry hosts as the table shows them.

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
const PAUSE: time::Duration = time::Duration::from_millis(200);

/// Time without a heartbeat after which an availability zone counts as silent.
pub const SILENCE: time::Duration = time::Duration::from_secs(7);

/// The row by which a zone's member tells that it lives; other fields are passed over.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
struct Beat {
    report: member::Report,
    oldest: unit::Version,
}

/// The row that lists a zone's entry hosts; other fields are passed over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize)]
struct Listing {
    hosts: Vec<Life>,
}

/// One life of an entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Life {
    /// Name of the entry host.
    pub host: name::Host,
    /// Availability zone of the entry host.
    pub zone: name::Zone,
    /// Name of this life of its entry process.
    pub incarnation: name::Incarnation,
    /// Whether the host takes new work.
    pub phase: control::Phase,
}

/// An availability zone, as its member's heartbeats show it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Standing {
    /// Name of the availability zone.
    pub zone: String,
    /// The life that vouches for the zone.
    pub member: name::Incarnation,
    /// Oldest version that an entry host of the zone has in force.
    pub version: unit::Version,
    /// Whether a heartbeat came while it was watched.
    pub is_heard: bool,
    #[serde(skip)]
    row: u64,
}

/// How far a change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reach {
    /// The change is written; too few zones are known to have it in force.
    Written,
    /// The change is accepted: it can no longer be missed by a zone that vouches.
    Accepted,
    /// The change is in force in every zone that is heard.
    InForce,
}

/// Availability zones, watched for some time.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    zones: collections::BTreeMap<String, Standing>,
    reports: Vec<member::Report>,
    roster: member::Roster,
}

impl Watch {
    /// Returns the availability zones in order of name.
    pub fn zones(&self) -> impl Iterator<Item = &Standing> {
        self.zones.values()
    }

    /// Reads the heartbeats, and then the roster, once more.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn look<P: platform::Platform>(&mut self, platform: &P) -> error::Result<()> {
        let rows = platform.rows(ZONE_PREFIX).await?;
        let roster = platform.row(member::ROSTER_KEY).await?;
        let known = std::mem::take(&mut self.zones);
        self.reports.clear();
        for row in rows {
            let Ok(beat) = serde_json::from_value::<Beat>(row.value) else {
                continue;
            };
            let before = known.get(&row.key);
            let is_heard = before.is_some_and(|zone| zone.is_heard || zone.row < row.version);
            let zone = Standing {
                zone: row.key.trim_start_matches(ZONE_PREFIX).to_owned(),
                member: beat.report.incarnation.clone(),
                version: beat.oldest,
                is_heard,
                row: row.version,
            };
            self.zones.insert(row.key, zone);
            self.reports.push(beat.report);
        }
        let roster = roster.map(|row| serde_json::from_value(row.value));
        self.roster = roster.transpose()?.unwrap_or_default();
        Ok(())
    }

    /// Watches until each zone was heard, or for `limit`.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn watch<P: platform::Platform>(
        platform: &P,
        limit: time::Duration,
    ) -> error::Result<Self> {
        let start = time::Instant::now();
        let mut watch = Self::default();
        loop {
            watch.look(platform).await?;
            let is_done = watch.zones().all(|zone| zone.is_heard);
            if is_done || start.elapsed() >= limit {
                return Ok(watch);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Before the first host there is no roster, and every host starts from the newest version.
    fn is_accepted(&self, version: unit::Version) -> bool {
        let is_unmanned = self.roster.members.is_empty() && self.roster.is_settled();
        is_unmanned || self.roster.is_accepted(version, &self.reports)
    }

    /// Returns the zones that do not have a version in force.
    fn behind(&self, version: unit::Version) -> Vec<&Standing> {
        let zones = self.zones();
        zones.filter(|zone| zone.version < version).collect()
    }
}

/// Reads the entry hosts that the zones list.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn hosts<P: platform::Platform>(platform: &P) -> error::Result<Vec<Life>> {
    let rows = platform.rows(HOSTS_PREFIX).await?;
    let listings = rows
        .into_iter()
        .filter_map(|row| serde_json::from_value::<Listing>(row.value).ok());
    Ok(listings.flat_map(|listing| listing.hosts).collect())
}

/// Waits until a version is in force in every zone that is heard, and tells how far it came.
///
/// The change is written already, so a failed look does not end the wait.
pub async fn wait<P: platform::Platform>(
    platform: &P,
    version: unit::Version,
    limit: time::Duration,
) -> Reach {
    if limit.is_zero() {
        return Reach::Written;
    }
    let start = time::Instant::now();
    let mut watch = Watch::default();
    let mut shown = None;
    loop {
        let is_read = watch.look(platform).await.is_ok();
        let is_accepted = is_read && watch.is_accepted(version);
        let behind = watch.behind(version);
        let is_silent = start.elapsed() >= SILENCE;
        let is_everywhere = behind.iter().all(|zone| is_silent && !zone.is_heard);
        let reach = match (is_accepted, is_everywhere) {
            (false, _) => Reach::Written,
            (true, false) => Reach::Accepted,
            (true, true) => Reach::InForce,
        };
        if reach == Reach::InForce || start.elapsed() >= limit {
            warn(&behind, is_silent);
            return reach;
        }
        if is_read && shown != Some(behind.len()) {
            shown = Some(behind.len());
            progress(&watch, version, &behind);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn progress(watch: &Watch, version: unit::Version, behind: &[&Standing]) {
    let all = watch.zones().count();
    let names: Vec<&str> = behind.iter().map(|zone| zone.zone.as_str()).collect();
    let rest = if names.is_empty() {
        String::new()
    } else {
        format!(", not yet in {}", names.join(", "))
    };
    print::progress(&format!(
        "version {version} is in force in {} of {all} availability zones{rest}",
        all - behind.len()
    ));
}

/// Names zones without the version; cut off, they refuse keyed routes once their records are stale.
fn warn(behind: &[&Standing], is_silent: bool) {
    for zone in behind {
        let word = if is_silent && !zone.is_heard {
            "silent:"
        } else {
            "behind:"
        };
        let label = print::styled(print::WARN, word);
        print::progress(&format!(
            "{label} availability zone {} last had version {} in force",
            zone.zone, zone.version
        ));
    }
}
