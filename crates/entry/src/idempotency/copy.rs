//! The copy of the ledger in the object store.

use std::collections;
use std::io;
use std::sync;
use std::time;

use cadence::Gauged as _;
use skylark_core::idempotency;
use skylark_core::name;
use skylark_wire::platform::Platform as _;

use crate::state;

const END_LIMIT: time::Duration = time::Duration::from_secs(3);
const END_PAUSE: time::Duration = time::Duration::from_millis(100);

/// CopyCache outcomes from time to time until the task is dropped.
///
/// # Errors
///
/// Never fails: outcomes stay in memory, bounded, while the platform is away.
pub async fn copy_outcomes(state: sync::Arc<state::State>) -> io::Result<()> {
    loop {
        tokio::time::sleep(state.view().write_period()).await;
        flush(&state).await;
        measure(&state);
    }
}

fn measure(state: &state::State) {
    let gauges = [
        ("once.keys", state.ledger.keys()),
        ("once.waiting", state.ledger.waiting()),
        ("once.lost", state.ledger.lost()),
    ];
    for (name, value) in gauges {
        if let Err(error) = state.metrics.gauge(name, value) {
            log::debug!(error:% = error; "metric not sent");
        }
    }
}

/// CopyCache the waiting outcomes, one object for each generation.
pub async fn flush(state: &state::State) {
    let mut pages = collections::BTreeMap::<u64, (Vec<u64>, idempotency::Page)>::new();
    for (number, pending) in state.ledger.pending() {
        let (numbers, page) = pages.entry(pending.generation).or_default();
        numbers.push(number);
        page.entries.push(pending.entry);
    }
    for (generation, (numbers, page)) in pages {
        let name = state.next_request_id();
        let name = format!("{}/{name}", folder(&state.incarnation, generation));
        let body = serde_json::to_vec(&page).unwrap_or_default();
        match state.platform.put(&name, body).await {
            Ok(()) => state.ledger.copied(&numbers),
            Err(error) => {
                log::debug!(error:% = error, outcomes = numbers.len(); "outcomes not copied");
            }
        }
    }
}

/// Ends the copy of a ledger that lets nothing start, once what runs has ended or `limit` is over.
pub async fn finish_copy(state: &state::State, limit: time::Duration) {
    let begun = time::Instant::now();
    while state.ledger.running() > 0 && begun.elapsed() < limit {
        tokio::time::sleep(END_PAUSE).await;
    }
    if tokio::time::timeout(END_LIMIT, mark_end(state))
        .await
        .is_err()
    {
        log::warn!(running = state.ledger.running(); "the copy of the ledger has no end");
    }
}

/// CopyCache what waits and writes the end mark, until the platform has taken both.
async fn mark_end(state: &state::State) {
    loop {
        flush(state).await;
        if let Some(end) = state.ledger.end() {
            let body = serde_json::to_vec(&end).unwrap_or_default();
            let name = end_name(&state.incarnation);
            if state.platform.put(&name, body).await.is_ok() {
                return;
            }
        }
        tokio::time::sleep(END_PAUSE).await;
    }
}

/// Returns the prefix of the names of all pages of a process.
pub fn root(holder: &name::Incarnation) -> String {
    format!("once/{holder}/page/")
}

/// Returns the prefix of the names of a generation's pages.
pub fn folder(holder: &name::Incarnation, generation: u64) -> String {
    format!("{}{generation}", root(holder))
}

/// Returns the name of the end mark.
pub fn end_name(holder: &name::Incarnation) -> String {
    format!("once/{holder}/end")
}
