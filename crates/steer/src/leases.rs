//! Contending for leases in the table and keeping them.

use std::collections;
use std::io;
use std::sync;
use std::time;

use skylark_core::instant;
use skylark_core::lease;
use skylark_core::name;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use super::gossip;
use super::known;
use super::state;
use super::table;

const LEASE_PREFIX: &str = "lease/";
const READ_PAUSE: time::Duration = time::Duration::from_secs(1);
const REGION_PREFIX: &str = "region-";

/// When each lease was read last.
type Reads = collections::BTreeMap<String, instant::Instant>;

/// Contends for the lease of this host's region and for each that another task asks about.
///
/// # Errors
///
/// Never fails: a lease that cannot be written is tried again after the pause.
pub async fn run(state: sync::Arc<state::State>) -> io::Result<()> {
    let mut epoch = 0;
    let mut reads = Reads::new();
    loop {
        if let Some(region) = state.with(|known| contended(known, &state.settings.zone)) {
            let tenure = state.tenure(&format!("{REGION_PREFIX}{region}"));
            if tenure.epoch != epoch {
                epoch = tenure.epoch;
                log::info!(region:% = region, epoch; "lease of the region held");
            }
        }
        let leases: Vec<String> = state.with(|known| known.seats.keys().cloned().collect());
        for lease in leases {
            if let Err(error) = step(&state, &lease, &mut reads).await {
                log::debug!(lease = lease.as_str(), error:% = error; "lease not reached");
            }
        }
        tokio::time::sleep(state.settings.poll.get()).await;
    }
}

/// Returns the region for whose lease this process contends, if it is a member.
fn contended(known: &known::Known, zone: &name::Zone) -> Option<name::Region> {
    if !known.node.is_member() {
        return None;
    }
    let mut regions = known.records.iter().filter_map(|d| d.region.as_ref());
    let region = regions.find(|region| region.zones.contains(zone))?;
    Some(region.name.clone())
}

async fn step(state: &state::State, lease: &str, reads: &mut Reads) -> platform::Result<()> {
    let now = state.clock.now();
    let action = state.with(|known| {
        let roster = known.node.roster().clone();
        known.seat(lease).decide(&roster, now)
    });
    match action {
        lease::Action::Wait if !table::is_due(reads.get(lease).copied(), READ_PAUSE, now) => Ok(()),
        lease::Action::Wait | lease::Action::Read => {
            reads.insert(lease.to_owned(), now);
            read(state, lease).await
        }
        lease::Action::Fence(version) => {
            bar(state, lease, version).await;
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
    let seen = lease::Versioned {
        version: row.as_ref().map_or(0, |row| row.version),
        row: row.map(table::read).transpose()?,
    };
    let now = state.clock.now();
    state.with(|known| known.seat(lease).on_read(seen, asked, now));
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
            value: Some(table::value(&row)?),
        }],
    };
    let now = state.clock.now();
    state.with(|known| known.seat(lease).on_send(version, row, now));
    match state.platform.commit(&commit).await {
        Ok(()) => {
            state.with(|known| known.seat(lease).on_written(version));
            Ok(())
        }
        Err(_error) => read(state, lease).await,
    }
}

/// Asks the members to stop helping the holder, and counts their answers.
async fn bar(state: &state::State, lease: &str, version: u64) {
    let roster = state.with(|known| known.node.roster().clone());
    let now = state.clock.now();
    state.with(|known| {
        if known.bar(lease, version) {
            let life = state.incarnation().clone();
            known.seat(lease).on_fenced(&life, version, &roster, now);
        }
    });
    for member in &roster.members {
        if member.incarnation == *state.incarnation() {
            continue;
        }
        let Ok(client) = gossip::connect(member.steer).await else {
            continue;
        };
        let answer = client
            .bar(gossip::context(), lease.to_owned(), version)
            .await;
        let now = state.clock.now();
        if let Some(barred) = answer.ok().filter(|barred| barred.is_fenced) {
            state.with(|known| {
                known
                    .seat(lease)
                    .on_fenced(&barred.member, version, &roster, now);
            });
        }
    }
}

/// Gives back every lease that this process holds.
pub async fn give_back(state: &state::State) {
    let held = state.with(|known| known.held());
    for held in held {
        let row = state.with(|known| known.seat(&held.lease).release());
        let Some(row) = row else { continue };
        if let Err(error) = write(state, &held.lease, held.version, row).await {
            log::warn!(lease = held.lease.as_str(), error:% = error; "lease not given back");
        }
    }
}
