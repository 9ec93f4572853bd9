//! Task that contends for leases in the table, renews them and releases them.

use std::collections;
use std::io;
use std::sync;
use std::time;

use skylark_core::instant;
use skylark_core::lease;
use skylark_core::name;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use super::control_state;
use super::gossip;
use super::state;
use super::table;

const LEASE_PREFIX: &str = "lease/";
const READ_PERIOD: time::Duration = time::Duration::from_secs(1);
const REGION_PREFIX: &str = "region-";

/// Time of the last read of each lease's row.
type ReadTimes = collections::BTreeMap<String, instant::Instant>;

/// Contends for the lease of this host's region and for each lease that another task requests.
///
/// # Errors
///
/// Never fails: a step that fails is tried again after the poll period.
pub async fn run(state: sync::Arc<state::State>) -> io::Result<()> {
    let mut epoch = 0;
    let mut read_times = ReadTimes::new();
    loop {
        if let Some(region) = state.with(|control| contended_region(control, &state.settings.zone))
        {
            let term = state.contend_for(&format!("{REGION_PREFIX}{region}"));
            if term.epoch != epoch {
                epoch = term.epoch;
                log::info!(region:% = region, epoch; "lease of the region held");
            }
        }
        let leases: Vec<String> = state.with(|control| control.electors.keys().cloned().collect());
        for lease in leases {
            if let Err(error) = step(&state, &lease, &mut read_times).await {
                log::debug!(lease = lease.as_str(), error:% = error; "row of the lease could not be read or written; retrying after the poll period");
            }
        }
        tokio::time::sleep(state.settings.poll.get()).await;
    }
}

/// Returns the region for whose lease this process contends; `None` if it is no member.
fn contended_region(
    control: &control_state::ControlState,
    zone: &name::Zone,
) -> Option<name::Region> {
    if !control.node.is_member() {
        return None;
    }
    let mut regions = control
        .records
        .iter()
        .filter_map(|document| document.region.as_ref());
    let region = regions.find(|region| region.zones.contains(zone))?;
    Some(region.name.clone())
}

async fn step(
    state: &state::State,
    lease: &str,
    read_times: &mut ReadTimes,
) -> platform::Result<()> {
    let now = state.clock.now();
    let action = state.with(|control| {
        let roster = control.node.roster().clone();
        control.elector(lease).decide(&roster, now)
    });
    match action {
        lease::Action::Wait if !table::is_due(read_times.get(lease).copied(), READ_PERIOD, now) => {
            Ok(())
        }
        lease::Action::Wait | lease::Action::Read => {
            read_times.insert(lease.to_owned(), now);
            read(state, lease).await
        }
        lease::Action::Fence(version) => {
            fence(state, lease, version).await;
            read(state, lease).await
        }
        lease::Action::Write { version, row } => write(state, lease, version, row).await,
    }
}

async fn read(state: &state::State, lease: &str) -> platform::Result<()> {
    let asked = state.clock.now();
    let row = state
        .platform
        .row(&format!("{LEASE_PREFIX}{lease}"))
        .await?;
    let latest = lease::Versioned {
        version: row.as_ref().map_or(0, |row| row.version),
        row: row.map(table::decode).transpose()?,
    };
    let now = state.clock.now();
    state.with(|control| control.elector(lease).on_read(latest, asked, now));
    Ok(())
}

async fn write(
    state: &state::State,
    lease: &str,
    version: u64,
    row: lease::Row,
) -> platform::Result<()> {
    let key = format!("{LEASE_PREFIX}{lease}");
    let commit = platform::Commit {
        conditions: vec![table::condition(&key, version)],
        writes: vec![platform::Write {
            key,
            value: Some(table::encode(&row)?),
        }],
    };
    let now = state.clock.now();
    state.with(|control| control.elector(lease).on_send(version, row, now));
    match state.platform.commit(&commit).await {
        Ok(()) => {
            state.with(|control| control.elector(lease).on_written(version));
            Ok(())
        }
        Err(_error) => read(state, lease).await,
    }
}

/// Asks all members to withdraw their support for the holder, and counts those that did.
async fn fence(state: &state::State, lease: &str, version: u64) {
    let roster = state.with(|control| control.node.roster().clone());
    let now = state.clock.now();
    state.with(|control| {
        if control.fence(lease, version) {
            let incarnation = state.incarnation().clone();
            control
                .elector(lease)
                .on_fenced(&incarnation, version, &roster, now);
        }
    });
    for member in &roster.members {
        if member.incarnation == *state.incarnation() {
            continue;
        }
        let Ok(client) = gossip::connect(member.steer).await else {
            continue;
        };
        let reply = client
            .bar(gossip::call_context(), lease.to_owned(), version)
            .await;
        let now = state.clock.now();
        if let Some(fenced) = reply.ok().filter(|fenced| fenced.is_fenced) {
            state.with(|control| {
                control
                    .elector(lease)
                    .on_fenced(&fenced.member, version, &roster, now);
            });
        }
    }
}

/// Releases every lease that this process holds.
pub async fn release_all(state: &state::State) {
    let leases = state.with(|control| control.held_leases());
    for held in leases {
        let row = state.with(|control| control.elector(&held.lease).release());
        let Some(row) = row else { continue };
        if let Err(error) = write(state, &held.lease, held.version, row).await {
            log::warn!(lease = held.lease.as_str(), error:% = error; "lease could not be released; its next holder must fence it off first");
        }
    }
}
