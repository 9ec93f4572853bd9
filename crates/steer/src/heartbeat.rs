//! Heartbeats of the members in the table, and the lists of hosts stored next to them.

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

/// Heartbeat row of a member, with the versions that its zone has in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// The member, the generation of its roster and the version that it has in force.
    pub report: member::Report,
    /// Oldest version that an entry host of the zone has in force.
    pub oldest: unit::Version,
    /// Serial number of the member's list of hosts.
    pub serial: u64,
    /// Number of heartbeats that the member has written, this one included.
    pub count: u64,
}

/// Writer of this member's heartbeats and reader of the other members'.
#[derive(Clone, Debug, Default)]
pub struct Heartbeats {
    last_round: Option<instant::Instant>,
    last_written: Option<Heartbeat>,
    listed_serial: Option<u64>,
}

impl Heartbeats {
    /// Creates a writer and reader that has not run a round yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes this member's heartbeat and reads the other members', when due.
    ///
    /// # Errors
    ///
    /// Fails when the table or the list of hosts cannot be reached, or a row is invalid.
    pub async fn run_round(&mut self, state: &state::State) -> platform::Result<()> {
        let now = state.clock.now();
        refresh_listing(state, now);
        if state.with(|control| control.node.is_member()) {
            self.write_heartbeat(state, now).await?;
        }
        if table::is_due(self.last_round, state.settings.heartbeat.get(), now) {
            self.last_round = Some(now);
            read_heartbeats(state).await?;
            read_leaving_hosts(state).await?;
        }
        Ok(())
    }

    async fn write_heartbeat(
        &mut self,
        state: &state::State,
        now: instant::Instant,
    ) -> platform::Result<()> {
        let heartbeat = self.build_heartbeat(state);
        let is_changed = self.last_written.as_ref().is_none_or(|written| {
            written.report != heartbeat.report
                || written.oldest != heartbeat.oldest
                || written.serial != heartbeat.serial
        });
        if !is_changed && !table::is_due(self.last_round, state.settings.heartbeat.get(), now) {
            return Ok(());
        }
        let zone = &state.settings.zone;
        let mut writes = vec![zone_write(ZONE_PREFIX, zone, &heartbeat)?];
        if self.listed_serial != Some(heartbeat.serial) {
            let listing = state.with(|control| control.directory.listing(zone).cloned());
            writes.push(zone_write(HOSTS_PREFIX, zone, &listing)?);
        }
        let commit = platform::Commit {
            conditions: Vec::new(),
            writes,
        };
        state.platform.commit(&commit).await?;
        self.listed_serial = Some(heartbeat.serial);
        self.last_written = Some(heartbeat);
        Ok(())
    }

    fn build_heartbeat(&self, state: &state::State) -> Heartbeat {
        let zone = &state.settings.zone;
        state.with(|control| {
            let version = control.config.version();
            let oldest = control.directory.oldest_version();
            Heartbeat {
                report: member::Report {
                    incarnation: state.incarnation().clone(),
                    generation: control.node.roster().generation,
                    version,
                },
                oldest: oldest.map_or(version, |oldest| oldest.min(version)),
                serial: control
                    .directory
                    .listing(zone)
                    .map_or(0, |listing| listing.serial),
                count: self
                    .last_written
                    .as_ref()
                    .map_or(1, |previous| previous.count + 1),
            }
        })
    }
}

/// Records this host as present, and rebuilds the list of its zone if this process is its member.
pub fn refresh_listing(state: &state::State, now: instant::Instant) {
    let host = state.host();
    let silence_timeout = state.settings.silence_timeout();
    state.with(|control| {
        if let Some(host) = host {
            let installed = control.entry_version();
            control.directory.record_contact(host, installed, now);
        }
        if control.node.is_member()
            && control
                .directory
                .rebuild(&state.member, silence_timeout, now)
        {
            log::info!(zone:% = state.settings.zone; "list of the hosts in the zone changed");
        }
    });
}

/// Reads which hosts the platform is about to remove.
async fn read_leaving_hosts(state: &state::State) -> platform::Result<()> {
    let entries = state.platform.hosts().await?;
    let leaving = entries
        .into_iter()
        .filter(|entry| entry.state == platform::HostState::Leaving)
        .map(|entry| entry.name)
        .collect();
    state.with(|control| control.directory.set_leaving(leaving));
    Ok(())
}

/// Reads the members' heartbeats, and the lists of hosts that are newer than the known ones.
async fn read_heartbeats(state: &state::State) -> platform::Result<()> {
    let rows = state.platform.rows(ZONE_PREFIX).await?;
    let now = state.clock.now();
    for row in rows {
        let zone = row.key.trim_start_matches(ZONE_PREFIX).to_owned();
        let version = row.version;
        let heartbeat: Heartbeat = match table::decode(row) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                log::debug!(zone = zone.as_str(), error:% = error; "heartbeat not understood; the others hold");
                continue;
            }
        };
        let incarnation = &heartbeat.report.incarnation;
        let is_current = state.with(|control| {
            control.on_heartbeat(incarnation, version, now);
            is_listing_current(control.directory.listing_by_name(&zone), &heartbeat)
        });
        if !is_current && heartbeat.report.incarnation != *state.incarnation() {
            read_listing(state, &zone).await?;
        }
    }
    Ok(())
}

fn is_listing_current(listing: Option<&peer::Listing>, heartbeat: &Heartbeat) -> bool {
    listing.is_some_and(|listing| {
        listing.origin == heartbeat.report.incarnation && listing.serial >= heartbeat.serial
    })
}

async fn read_listing(state: &state::State, zone: &str) -> platform::Result<()> {
    let row = state.platform.row(&format!("{HOSTS_PREFIX}{zone}")).await?;
    let listing: Option<peer::Listing> = row.map(table::decode).transpose()?.flatten();
    if let Some(listing) = listing {
        state.with(|control| {
            let roster = control.node.roster().clone();
            control.directory.merge(&listing, &roster)
        });
    }
    Ok(())
}

fn zone_write<T: serde::Serialize>(
    prefix: &str,
    zone: &name::Zone,
    content: &T,
) -> platform::Result<platform::Write> {
    Ok(platform::Write {
        key: format!("{prefix}{zone}"),
        value: Some(table::encode(content)?),
    })
}
