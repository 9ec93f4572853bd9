//! Replication of the store's tables by long polling, and registration of this host.

use std::sync;
use std::time;

use skylark_core::traffic;
use skylark_platform::store;

use super::cluster;
use super::error;
use super::state;

/// Tables that each host replicates.
pub(crate) const WATCHED: [store::Table; 2] = [store::Table::Config, store::Table::Targets];
/// Number of hosts that poll with a short wait. Other hosts get changes from these if their own
/// polls go unanswered.
const FREQUENT_POLLERS: usize = 3;
/// Wait of a frequent poller. An unanswered poll is given up before the store counts as stable
/// after an outage, so that no change then waits for a poll from before.
const FREQUENT_POLL_WAIT: time::Duration = time::Duration::from_millis(1_500);
/// Wait of the other hosts' polls.
const POLL_WAIT: time::Duration = time::Duration::from_secs(15);
/// Delay after a failed request, doubled after each further failure.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// Longest delay between failed requests, well below the time in which changes must be in force.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(400);
/// Time between two checks whether this host has become the reader of its zone.
const READER_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Delay after each change of a table, so that several changes are applied at once.
const BATCH_DELAY: time::Duration = time::Duration::from_millis(60);

/// Replicates one table until the task is dropped.
pub(crate) async fn watch(
    table: store::Table,
    state: sync::Arc<state::State>,
) -> error::Result<()> {
    let mut delay = MIN_RETRY_DELAY;
    let mut is_synced = false;
    loop {
        if !is_reader(&state) {
            is_synced = false;
            tokio::time::sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let address = state.settings().store;
        let after = state.cluster().replica(table).version();
        state.metrics.record_store_call();
        let is_delta = is_synced && !after.is_zero();
        let asked_at = state.clock.now();
        let reply = if is_delta {
            let wait = poll_wait(&state);
            tokio::select! {
                reply = state.store.poll_changes(address, table, after, wait) => reply,
                // A position of an earlier epoch may be valid again, with other changes before it.
                () = state.newer_epoch(after.epoch()) => Err(skylark_platform::Error::Restored),
            }
        } else {
            state.store.read_table(address, table).await
        };
        let now = state.clock.now();
        match reply {
            Ok(rows) if rows.version.epoch() < state.store_epoch() => {
                log::info!(table = table.as_str(), version:% = rows.version; "late answer of an earlier store epoch ignored");
                is_synced = false;
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
            Ok(rows) => {
                for fault in &rows.faults {
                    log::error!(table = table.as_str(), error:% = fault; "row of the store not understood; the others hold");
                }
                state.observe_epoch(rows.version.epoch());
                apply(&state, table, rows, is_delta);
                state.record_evidence(table, asked_at);
                is_synced = true;
                delay = MIN_RETRY_DELAY;
                tokio::time::sleep(BATCH_DELAY).await;
            }
            Err(error) => {
                let is_gap = matches!(
                    error,
                    skylark_platform::Error::Compacted | skylark_platform::Error::Restored
                );
                log::warn!(table = table.as_str(), after:% = after, error:% = error; "store request failed; retrying");
                // A time limit that lapsed in a suspension is no outage of the store.
                if is_gap && is_synced || state.was_suspended_since(asked_at) {
                    is_synced = false;
                    continue;
                }
                state.cluster().set_store_reachable(table, false, now);
                is_synced = false;
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Decides whether this host reads the store now.
fn is_reader(state: &state::State) -> bool {
    let now = state.clock.now();
    state.cluster().update_reader(&state.identity, now)
}

/// Returns the time for which this host's polls wait for a change.
fn poll_wait(state: &state::State) -> time::Duration {
    let now = state.clock.now();
    let position = state
        .cluster()
        .dispatcher()
        .fleet()
        .position(&state.identity.host, now);
    if position < FREQUENT_POLLERS {
        FREQUENT_POLL_WAIT
    } else {
        POLL_WAIT
    }
}

/// Applies changes, or a snapshot of the whole table.
fn apply(state: &state::State, table: store::Table, rows: store::Rows, is_delta: bool) {
    let now = state.clock.now();
    let mut cluster = state.cluster();
    cluster.set_store_reachable(table, true, now);
    let changes = if is_delta {
        traffic::Changes::Delta(rows.rows)
    } else {
        traffic::Changes::Snapshot(rows.rows)
    };
    let is_changed = cluster.apply(table, changes, rows.version, cluster::Source::Store, now);
    if is_changed {
        state.changed.notify_one();
        state.queue_changed.notify_one();
    }
}

/// Writes this host's row and reads the addresses of the other hosts, in each epoch of the store.
pub(crate) async fn register(state: sync::Arc<state::State>) -> error::Result<()> {
    let table = store::Table::Hosts;
    let own = state.member();
    let row = bincode::serialize(&HostRow {
        control: own.control_address,
    })?;
    let mut delay = MIN_RETRY_DELAY;
    loop {
        let address = state.settings().store;
        match publish_row(&state, address, &own, &row).await {
            Ok(epoch) => {
                // A store that returns from an older copy may have lost the row.
                state.newer_epoch(epoch).await;
                // Not at once, if the store names an earlier epoch than other hosts know.
                tokio::time::sleep(MIN_RETRY_DELAY).await;
                delay = MIN_RETRY_DELAY;
            }
            Err(error) => {
                log::warn!(table = table.as_str(), error:% = error; "store request failed; retrying");
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Row of a host: the address at which hosts that start later find it.
#[derive(serde::Serialize, serde::Deserialize)]
struct HostRow {
    control: std::net::SocketAddr,
}

/// Reads the other hosts' rows once more after writing the own row, so that of two hosts that
/// start together at least one finds the other. Returns the store's epoch before the write.
async fn publish_row(
    state: &state::State,
    address: std::net::SocketAddr,
    own: &traffic::Member,
    row: &[u8],
) -> skylark_platform::Result<u64> {
    let (epoch, is_published) = add_listed_hosts(state, address, own, row).await?;
    if !is_published {
        let table = store::Table::Hosts;
        let key = own.host.as_str();
        state.store.write_row(address, table, key, row).await?;
        add_listed_hosts(state, address, own, row).await?;
    }
    state.changed.notify_one();
    Ok(epoch)
}

/// Adds the other hosts' addresses; returns the store's epoch, and whether this host's own row is
/// up to date.
async fn add_listed_hosts(
    state: &state::State,
    address: std::net::SocketAddr,
    own: &traffic::Member,
    row: &[u8],
) -> skylark_platform::Result<(u64, bool)> {
    let listed = state.store.read_table(address, store::Table::Hosts).await?;
    let mut is_published = false;
    for other in listed.rows {
        let Some(value) = other.value else { continue };
        if other.key == own.host.as_str() {
            is_published = value == row;
            continue;
        }
        match bincode::deserialize::<HostRow>(&value) {
            Ok(row) => state.contacts.add(row.control),
            Err(error) => {
                log::warn!(host = other.key.as_str(), error:% = error; "host row rejected; ignoring its address");
            }
        }
    }
    state.contacts.set_listed();
    Ok((listed.version.epoch(), is_published))
}
