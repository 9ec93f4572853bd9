//! Copy of the ledger in the object store, for responses that are evicted from memory and for
//! keys whose home does not reply.

use std::collections;
use std::io;
use std::sync;
use std::time;

use cadence::Gauged as _;
use skylark_core::idempotency;
use skylark_core::name;
use skylark_wire::platform::Platform as _;

use crate::state;

/// Longest time for writing the end marker at shutdown.
const END_MARKER_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Delay between two checks for running requests, and between two writes, at shutdown.
const SHUTDOWN_POLL_PERIOD: time::Duration = time::Duration::from_millis(100);

/// Copies outcomes at intervals until the task is dropped.
///
/// # Errors
///
/// Never fails: outcomes stay in memory, bounded, while the platform is unavailable.
pub async fn copy_outcomes(state: sync::Arc<state::State>) -> io::Result<()> {
    loop {
        tokio::time::sleep(state.view().write_period()).await;
        flush(&state).await;
        measure(&state);
    }
}

fn measure(state: &state::State) {
    let gauges = [
        ("once.keys", state.ledger.key_count()),
        ("once.waiting", state.ledger.pending_count()),
        ("once.lost", state.ledger.dropped()),
    ];
    for (name, value) in gauges {
        if let Err(error) = state.metrics.gauge(name, value) {
            log::debug!(error:% = error; "a metric could not be sent; skipping it");
        }
    }
}

/// Copies pending outcomes, as one object for each segment.
pub async fn flush(state: &state::State) {
    let mut pages = collections::BTreeMap::<u64, (Vec<u64>, idempotency::Page)>::new();
    for (number, pending) in state.ledger.pending() {
        let (numbers, page) = pages.entry(pending.segment).or_default();
        numbers.push(number);
        page.entries.push(pending.entry);
    }
    for (segment, (numbers, page)) in pages {
        let name = state.next_request_id();
        let name = format!("{}/{name}", segment_prefix(&state.incarnation, segment));
        let body = serde_json::to_vec(&page).unwrap_or_default();
        match state.platform.put(&name, body).await {
            Ok(()) => state.ledger.remove_copied(&numbers),
            Err(error) => {
                log::debug!(error:% = error, outcomes = numbers.len(); "the outcomes could not be copied; keeping them for the next attempt");
            }
        }
    }
}

/// Completes the copy of a closed ledger, after running requests have ended or a timeout.
pub async fn finish_copy(state: &state::State, timeout: time::Duration) {
    let started = time::Instant::now();
    while state.ledger.running() > 0 && started.elapsed() < timeout {
        tokio::time::sleep(SHUTDOWN_POLL_PERIOD).await;
    }
    if tokio::time::timeout(END_MARKER_TIMEOUT, write_end_marker(state))
        .await
        .is_err()
    {
        log::warn!(running = state.ledger.running(); "the end marker of the ledger copy could not be written; other hosts cannot tell which keys have not run");
    }
}

/// Copies pending outcomes and writes the end marker, with retries until both are stored.
async fn write_end_marker(state: &state::State) {
    loop {
        flush(state).await;
        if let Some(marker) = state.ledger.end_marker() {
            let body = serde_json::to_vec(&marker).unwrap_or_default();
            let name = end_marker_name(&state.incarnation);
            if state.platform.put(&name, body).await.is_ok() {
                return;
            }
        }
        tokio::time::sleep(SHUTDOWN_POLL_PERIOD).await;
    }
}

/// Returns the prefix of the names of all pages of a process.
pub fn page_prefix(holder: &name::Incarnation) -> String {
    format!("once/{holder}/page/")
}

/// Returns the prefix of the names of a segment's pages.
pub fn segment_prefix(holder: &name::Incarnation, segment: u64) -> String {
    format!("{}{segment}", page_prefix(holder))
}

/// Returns the name of the end marker of a process.
pub fn end_marker_name(holder: &name::Incarnation) -> String {
    format!("once/{holder}/end")
}
