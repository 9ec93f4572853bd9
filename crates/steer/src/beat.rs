//! Heartbeats of the members in the table, and the lists of hosts beside them.

use skylark_core::instant;
use skylark_core::member;
use skylark_core::name;
use skylark_core::unit;
use skylark_wire::peer;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use super::state;
use super::table;

const ZONE_PREFIX: &str = "zone/";
const HOSTS_PREFIX: &str = "hosts/";

/// The row by which a member tells that it lives and what its zone has in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Beat {
    /// The member, the roster that it knows and the version that it has in force.
    pub report: member::Report,
    /// Oldest version that an entry host of the zone has in force.
    pub oldest: unit::Version,
    /// Number of the member's list of hosts.
    pub serial: u64,
    /// Number of this heartbeat.
    pub count: u64,
}

/// Heartbeats of this member and of the others.
#[derive(Clone, Debug, Default)]
pub struct Beats {
    last: Option<instant::Instant>,
    written: Option<Beat>,
    listed: Option<u64>,
}

impl Beats {
    /// Creates heartbeats that have not begun.
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes this member's heartbeat and reads the others', when it is time.
    ///
    /// # Errors
    ///
    /// Fails when the table is not reached.
    pub async fn round(&mut self, state: &state::State) -> platform::Result<()> {
        let now = state.clock.now();
        hear_self(state, now);
        if state.with(|known| known.node.is_member()) {
            self.beat(state, now).await?;
        }
        if table::is_due(self.last, state.settings.heartbeat.get(), now) {
            self.last = Some(now);
            look(state).await?;
            look_for_leaving(state).await?;
        }
        Ok(())
    }

    async fn beat(&mut self, state: &state::State, now: instant::Instant) -> platform::Result<()> {
        let beat = self.form(state);
        let is_changed = self.written.as_ref().is_none_or(|written| {
            written.report != beat.report
                || written.oldest != beat.oldest
                || written.serial != beat.serial
        });
        if !is_changed && !table::is_due(self.last, state.settings.heartbeat.get(), now) {
            return Ok(());
        }
        let zone = &state.settings.zone;
        let mut writes = vec![write(ZONE_PREFIX, zone, &beat)?];
        if self.listed != Some(beat.serial) {
            let listing = state.with(|known| known.directory.listing(zone).cloned());
            writes.push(write(HOSTS_PREFIX, zone, &listing)?);
        }
        let commit = platform::Commit {
            conditions: Vec::new(),
            writes,
        };
        state.platform.commit(&commit).await?;
        self.listed = Some(beat.serial);
        self.written = Some(beat);
        Ok(())
    }

    fn form(&self, state: &state::State) -> Beat {
        let zone = &state.settings.zone;
        state.with(|known| {
            let version = known.config.version();
            let oldest = known.directory.oldest();
            Beat {
                report: member::Report {
                    incarnation: state.incarnation().clone(),
                    generation: known.node.roster().generation,
                    version,
                },
                oldest: oldest.map_or(version, |oldest| oldest.min(version)),
                serial: known.directory.listing(zone).map_or(0, |l| l.serial),
                count: self.written.as_ref().map_or(1, |beat| beat.count + 1),
            }
        })
    }
}

/// Takes this host into the list of its zone, if this process writes it.
pub fn hear_self(state: &state::State, now: instant::Instant) {
    let host = state.host();
    let patience = state.settings.patience();
    state.with(|known| {
        if let Some(host) = host {
            let installed = known.installed();
            known.directory.hear(host, installed, now);
        }
        if known.node.is_member() && known.directory.write(&state.me, patience, now) {
            log::info!(zone:% = state.settings.zone; "hosts of the zone listed");
        }
    });
}

/// Reads which hosts the platform is about to take away.
async fn look_for_leaving(state: &state::State) -> platform::Result<()> {
    let listed = state.platform.hosts().await?;
    let leaving = listed
        .into_iter()
        .filter(|entry| entry.state == platform::HostState::Leaving)
        .map(|entry| entry.name)
        .collect();
    state.with(|known| known.directory.leave(leaving));
    Ok(())
}

/// Reads the members' heartbeats, and the lists that are newer than the known ones.
async fn look(state: &state::State) -> platform::Result<()> {
    let rows = state.platform.rows(ZONE_PREFIX).await?;
    let now = state.clock.now();
    for row in rows {
        let zone = row.key.trim_start_matches(ZONE_PREFIX).to_owned();
        let version = row.version;
        let beat: Beat = table::read(row)?;
        let life = &beat.report.incarnation;
        let is_known = state.with(|known| {
            known.see(life, version, now);
            is_listed(known.directory.stamps_of(&zone), &beat)
        });
        if !is_known && beat.report.incarnation != *state.incarnation() {
            read_listing(state, &zone).await?;
        }
    }
    Ok(())
}

fn is_listed(known: Option<&peer::Listing>, beat: &Beat) -> bool {
    known.is_some_and(|listing| {
        listing.origin == beat.report.incarnation && listing.serial >= beat.serial
    })
}

async fn read_listing(state: &state::State, zone: &str) -> platform::Result<()> {
    let row = state.platform.row(&format!("{HOSTS_PREFIX}{zone}")).await?;
    let listing: Option<peer::Listing> = row.map(table::read).transpose()?.flatten();
    if let Some(listing) = listing {
        state.with(|known| {
            let roster = known.node.roster().clone();
            known.directory.take(&listing, &roster)
        });
    }
    Ok(())
}

fn write<T: serde::Serialize>(
    prefix: &str,
    zone: &name::Zone,
    content: &T,
) -> platform::Result<platform::Write> {
    Ok(platform::Write {
        key: format!("{prefix}{zone}"),
        value: Some(table::value(content)?),
    })
}
