//! Entry hosts as their heartbeats in the table show them.

use std::collections;
use std::time;

use skylark_core::name;
use skylark_core::unit;
use skylark_wire::control;
use skylark_wire::platform;

use super::error;
use super::print;

const PREFIX: &str = "host/";
const PAUSE: time::Duration = time::Duration::from_millis(200);

/// Time without a heartbeat after which a host counts as silent.
pub const SILENCE: time::Duration = time::Duration::from_secs(7);

/// The row by which a host tells that it lives; fields for other readers are passed over.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
struct Heartbeat {
    host: Host,
    version: unit::Version,
}

/// What is read of a life; its addresses are not.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
struct Host {
    host: name::Host,
    incarnation: name::Incarnation,
    zone: name::Zone,
    phase: control::Phase,
}

/// One life of an entry host, as its heartbeats show it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Life {
    /// Name of the entry host.
    pub host: name::Host,
    /// Availability zone of the entry host.
    pub zone: name::Zone,
    /// Name of this life of its entry process.
    pub incarnation: name::Incarnation,
    /// Version of the records that it has in force.
    pub version: unit::Version,
    /// Whether the host takes new work.
    pub phase: control::Phase,
    /// Whether a heartbeat came while it was watched.
    pub is_heard: bool,
    #[serde(skip)]
    row: u64,
}

/// The lives of entry hosts, watched for some time.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    lives: collections::BTreeMap<String, Life>,
}

impl Roster {
    /// Returns the lives of entry hosts by name.
    pub fn lives(&self) -> impl Iterator<Item = &Life> {
        self.lives.values()
    }

    /// Reads the heartbeats once more.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn look<P: platform::Platform>(&mut self, platform: &P) -> error::Result<()> {
        let rows = platform.rows(PREFIX).await?;
        let known = std::mem::take(&mut self.lives);
        for row in rows {
            let Ok(beat) = serde_json::from_value::<Heartbeat>(row.value) else {
                continue;
            };
            let before = known.get(&row.key);
            let is_heard = before.is_some_and(|life| life.is_heard || life.row < row.version);
            let life = Life {
                host: beat.host.host,
                zone: beat.host.zone,
                incarnation: beat.host.incarnation,
                version: beat.version,
                phase: beat.host.phase,
                is_heard,
                row: row.version,
            };
            self.lives.insert(row.key, life);
        }
        Ok(())
    }

    /// Watches until each life was heard, or for `limit`.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn watch<P: platform::Platform>(
        platform: &P,
        limit: time::Duration,
    ) -> error::Result<Self> {
        let start = time::Instant::now();
        let mut roster = Self::default();
        loop {
            roster.look(platform).await?;
            let is_done = roster.lives().all(|life| life.is_heard);
            if is_done || start.elapsed() >= limit {
                return Ok(roster);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Returns the lives that do not have a version in force.
    fn behind(&self, version: unit::Version) -> Vec<&Life> {
        self.lives().filter(|life| life.version < version).collect()
    }
}

/// Waits until a version is in force on every entry host that is heard.
///
/// # Errors
///
/// Fails when a host that is heard does not have the version in force within `limit`.
pub async fn wait<P: platform::Platform>(
    platform: &P,
    version: unit::Version,
    limit: time::Duration,
) -> error::Result<()> {
    if limit.is_zero() {
        return Ok(());
    }
    let start = time::Instant::now();
    let mut roster = Roster::default();
    let mut shown = None;
    loop {
        // The change is accepted already: a failed look does not fail the command.
        let _unread = roster.look(platform).await;
        let behind = roster.behind(version);
        let is_silent = start.elapsed() >= SILENCE;
        let waited_for: Vec<&&Life> = behind
            .iter()
            .filter(|life| life.is_heard || !is_silent)
            .collect();
        if waited_for.is_empty() {
            warn(&behind);
            return Ok(());
        }
        if start.elapsed() >= limit {
            warn(&behind);
            let hosts = waited_for.iter().map(|life| place(life)).collect();
            return Err(error::Error::Pending { version, hosts });
        }
        if shown != Some(behind.len()) {
            shown = Some(behind.len());
            progress(&roster, version, &behind);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn progress(roster: &Roster, version: unit::Version, behind: &[&Life]) {
    let all = roster.lives().count();
    let places: Vec<String> = behind.iter().map(|life| place(life)).collect();
    print::progress(&format!(
        "version {version} is in force on {} of {all} entry hosts, not yet on {}",
        all - behind.len(),
        places.join(", ")
    ));
}

/// Names hosts that are silent; cut off, they refuse keyed routes once their records are stale.
fn warn(behind: &[&Life]) {
    for life in behind.iter().filter(|life| !life.is_heard) {
        let label = print::styled(print::WARN, "silent:");
        print::progress(&format!(
            "{label} {} was not heard while waiting, and last had version {} in force",
            place(life),
            life.version
        ));
    }
}

fn place(life: &Life) -> String {
    format!("{} ({})", life.host, life.zone)
}
