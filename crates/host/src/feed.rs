//! Follows the store's tables, and makes this host known there.

use std::sync;
use std::time;

use skylark_core::traffic;
use skylark_platform::store;

use super::cluster;
use super::error;
use super::state;

/// Tables whose changes every host follows.
pub(crate) const WATCHED: [store::Table; 2] = [store::Table::Config, store::Table::Targets];
/// Hosts that ask the store often; the others hear of news from them, should their feeds be silent.
const FREQUENT_POLLERS: usize = 3;
/// Time for which a watcher's feed waits; a silent one is noticed inside the time to apply changes.
const FREQUENT_POLL_WAIT: time::Duration = time::Duration::from_millis(2_500);
/// Time for which another host's feed waits.
const POLL_WAIT: time::Duration = time::Duration::from_secs(15);
/// Pause after a failed call; doubled with each one in a row.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// Longest delay between failed calls, well inside the time in which changes must be in force.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(400);
/// Pause between two looks at whether this host's turn to follow has come.
const READER_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Pause between the changes of one table, in which several are taken at once.
const BATCH_DELAY: time::Duration = time::Duration::from_millis(60);

/// Follows one table until the task is dropped.
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
        let is_delta = is_synced && after > 0;
        let reply = if is_delta {
            state
                .store
                .poll_changes(address, table, after, poll_wait(&state))
                .await
        } else {
            state.store.read_table(address, table).await
        };
        let now = state.clock.now();
        match reply {
            Ok(rows) => {
                apply(&state, table, rows, is_delta);
                is_synced = true;
                delay = MIN_RETRY_DELAY;
                tokio::time::sleep(BATCH_DELAY).await;
            }
            Err(error) => {
                let is_compacted = matches!(error, skylark_platform::Error::Compacted);
                log::warn!(table = table.as_str(), after, error:% = error; "store call failed");
                if is_compacted {
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

/// Decides whether this host follows the store now.
fn is_reader(state: &state::State) -> bool {
    let now = state.clock.now();
    state.cluster().update_reader(&state.identity, now)
}

/// Returns the time for which this host's feeds wait.
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

/// Takes in changes, or a whole table.
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

/// Writes this host's row, and learns the other hosts' addresses.
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
            Ok(()) => break,
            Err(error) => {
                log::warn!(table = table.as_str(), error:% = error; "store call failed");
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
    // The row stands; a task that ended would be started again.
    std::future::pending().await
}

/// Address under which a host is found by others that start later.
#[derive(serde::Serialize, serde::Deserialize)]
struct HostRow {
    control: std::net::SocketAddr,
}

/// Learns the rows of other hosts after its own row stands, so that of two hosts that start
/// together at least one finds the other.
async fn publish_row(
    state: &state::State,
    address: std::net::SocketAddr,
    own: &traffic::Member,
    row: &[u8],
) -> skylark_platform::Result<()> {
    if !learn_hosts(state, address, own, row).await? {
        let table = store::Table::Hosts;
        let key = own.host.as_str();
        state.store.write_row(address, table, key, row).await?;
        learn_hosts(state, address, own, row).await?;
    }
    state.changed.notify_one();
    Ok(())
}

/// Learns the other hosts' addresses; returns whether this host's own row stands.
async fn learn_hosts(
    state: &state::State,
    address: std::net::SocketAddr,
    own: &traffic::Member,
    row: &[u8],
) -> skylark_platform::Result<bool> {
    let listed = state.store.read_table(address, store::Table::Hosts).await?;
    let mut is_published = false;
    for other in listed.rows {
        let Some(value) = other.value else { continue };
        if other.key == own.host.as_str() {
            is_published = value == row;
            continue;
        }
        match bincode::deserialize::<HostRow>(&value) {
            Ok(row) => state.peers.add(row.control),
            Err(error) => {
                log::warn!(host = other.key.as_str(), error:% = error; "row of a host refused");
            }
        }
    }
    Ok(is_published)
}
