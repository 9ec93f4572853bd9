//! Follows the store's tables, and makes this host known there.

use std::sync;
use std::time;

use skylark_core::traffic;
use skylark_platform::store;

use super::error;
use super::knowledge;
use super::state;

/// Tables whose changes every host follows.
pub(crate) const FOLLOWED: [store::Table; 2] = [store::Table::Orders, store::Table::Targets];
/// Hosts that ask the store often; the others hear of news from them, should their feeds be silent.
const WATCHERS: usize = 3;
/// Time for which a watcher's feed waits; a silent one is noticed inside the time to apply changes.
const WATCHER_WAIT: time::Duration = time::Duration::from_millis(2_500);
/// Time for which another host's feed waits.
const OTHER_WAIT: time::Duration = time::Duration::from_secs(15);
/// Pause after a failed call; doubled with each one in a row.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Longest pause between failed calls, well inside the time in which changes must be in force.
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Pause between two looks at whether this host's turn to follow has come.
const LOOK: time::Duration = time::Duration::from_millis(100);
/// Pause between the changes of one table, in which several are taken at once.
const GATHER: time::Duration = time::Duration::from_millis(60);

/// Follows one table until the task is dropped.
pub(crate) async fn run(table: store::Table, state: sync::Arc<state::State>) -> error::Result<()> {
    let mut pause = FIRST_PAUSE;
    let mut is_whole = false;
    loop {
        if !follows(&state) {
            is_whole = false;
            tokio::time::sleep(LOOK).await;
            continue;
        }
        let address = state.settings().store;
        let after = state.knowledge().mirror(table).version();
        state.metrics.call();
        let is_change = is_whole && after > 0;
        let answer = if is_change {
            state
                .store
                .follow(address, table, after, wait(&state))
                .await
        } else {
            state.store.read(address, table).await
        };
        let now = state.clock.now();
        match answer {
            Ok(rows) => {
                take(&state, table, rows, is_change);
                is_whole = true;
                pause = FIRST_PAUSE;
                tokio::time::sleep(GATHER).await;
            }
            Err(fault) => {
                let is_compacted = matches!(fault, skylark_platform::Error::Compacted);
                log::warn!(table = table.as_str(), after, error:% = fault; "store call failed");
                if is_compacted {
                    is_whole = false;
                    continue;
                }
                state.knowledge().reach(table, false, now);
                is_whole = false;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Decides whether this host follows the store now.
fn follows(state: &state::State) -> bool {
    let now = state.clock.now();
    state.knowledge().decide_following(&state.identity, now)
}

/// Returns the time for which this host's feeds wait.
fn wait(state: &state::State) -> time::Duration {
    let now = state.clock.now();
    let place = state
        .knowledge()
        .dispatcher()
        .fleet()
        .position(&state.identity.host, now);
    if place < WATCHERS {
        WATCHER_WAIT
    } else {
        OTHER_WAIT
    }
}

/// Takes in changes, or a whole table.
fn take(state: &state::State, table: store::Table, rows: store::Rows, is_change: bool) {
    let now = state.clock.now();
    let mut known = state.knowledge();
    known.reach(table, true, now);
    let changes = if is_change {
        traffic::Changes::Delta(rows.rows)
    } else {
        traffic::Changes::Snapshot(rows.rows)
    };
    let is_news = known.take(table, changes, rows.version, knowledge::Source::Store, now);
    if is_news {
        state.news.notify_one();
        state.line.notify_one();
    }
}

/// Writes this host's row, and learns the other hosts' addresses.
pub(crate) async fn join(state: sync::Arc<state::State>) -> error::Result<()> {
    let table = store::Table::Hosts;
    let own = state.member();
    let row = bincode::serialize(&Row {
        control: own.control_address,
    })?;
    let mut pause = FIRST_PAUSE;
    loop {
        let address = state.settings().store;
        match exchange(&state, address, &own, &row).await {
            Ok(()) => break,
            Err(fault) => {
                log::warn!(table = table.as_str(), error:% = fault; "store call failed");
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
    // The row stands; a task that ended would be started again.
    std::future::pending().await
}

/// Address under which a host is found by others that start later.
#[derive(serde::Serialize, serde::Deserialize)]
struct Row {
    control: std::net::SocketAddr,
}

/// Learns the rows of other hosts after its own row stands, so that of two hosts that start
/// together at least one finds the other.
async fn exchange(
    state: &state::State,
    address: std::net::SocketAddr,
    own: &traffic::Member,
    row: &[u8],
) -> skylark_platform::Result<()> {
    if !learn_hosts(state, address, own, row).await? {
        let table = store::Table::Hosts;
        let key = own.host.as_str();
        state.store.write(address, table, key, row).await?;
        learn_hosts(state, address, own, row).await?;
    }
    state.news.notify_one();
    Ok(())
}

/// Learns the other hosts' addresses; returns whether this host's own row stands.
async fn learn_hosts(
    state: &state::State,
    address: std::net::SocketAddr,
    own: &traffic::Member,
    row: &[u8],
) -> skylark_platform::Result<bool> {
    let listed = state.store.read(address, store::Table::Hosts).await?;
    let mut is_known = false;
    for other in listed.rows {
        let Some(value) = other.value else { continue };
        if other.key == own.host.as_str() {
            is_known = value == row;
            continue;
        }
        match bincode::deserialize::<Row>(&value) {
            Ok(row) => state.peers.add(row.control),
            Err(fault) => {
                log::warn!(host = other.key.as_str(), error:% = fault; "row of a host refused");
            }
        }
    }
    Ok(is_known)
}
