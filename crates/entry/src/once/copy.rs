//! The copy of the ledger in the object store.

use std::collections;
use std::io;
use std::sync;
use std::time;

use skylark_core::name;
use skylark_core::once;
use skylark_wire::platform::Platform as _;

use crate::state;

const FLUSH_PERIOD: time::Duration = time::Duration::from_millis(500);
const RECALL_LIMIT: time::Duration = time::Duration::from_secs(1);
const END_LIMIT: time::Duration = time::Duration::from_secs(3);
const END_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Copies outcomes from time to time until the task is dropped.
///
/// # Errors
///
/// Never fails: outcomes stay in memory, bounded, while the platform is away.
pub async fn keep(state: sync::Arc<state::State>) -> io::Result<()> {
    loop {
        tokio::time::sleep(FLUSH_PERIOD).await;
        flush(&state).await;
    }
}

/// Copies the waiting outcomes, one object for each generation.
pub async fn flush(state: &state::State) {
    let mut pages = collections::BTreeMap::<u64, (Vec<u64>, once::Page)>::new();
    for (number, pending) in state.book.pending() {
        let (numbers, page) = pages.entry(pending.generation).or_default();
        numbers.push(number);
        page.entries.push(pending.entry);
    }
    for (generation, (numbers, page)) in pages {
        let name = state.next_request();
        let name = format!("{}/{name}", folder(&state.incarnation, generation));
        let body = serde_json::to_vec(&page).unwrap_or_default();
        match state.platform.put(&name, body).await {
            Ok(()) => state.book.copied(&numbers),
            Err(error) => {
                log::debug!(error:% = error, outcomes = numbers.len(); "outcomes not copied");
            }
        }
    }
}

/// Ends the copy of a ledger that lets nothing start, once what runs has ended or `limit` is over.
pub async fn end(state: &state::State, limit: time::Duration) {
    let begun = time::Instant::now();
    while state.book.running() > 0 && begun.elapsed() < limit {
        tokio::time::sleep(END_PAUSE).await;
    }
    if tokio::time::timeout(END_LIMIT, mark_end(state))
        .await
        .is_err()
    {
        log::warn!(running = state.book.running(); "the copy of the ledger has no end");
    }
}

/// Copies what waits and writes the end mark, until the platform has taken both.
async fn mark_end(state: &state::State) {
    loop {
        flush(state).await;
        if let Some(end) = state.book.end() {
            let body = serde_json::to_vec(&end).unwrap_or_default();
            let name = end_name(&state.incarnation);
            if state.platform.put(&name, body).await.is_ok() {
                return;
            }
        }
        tokio::time::sleep(END_PAUSE).await;
    }
}

/// Tells what became of a key from the copy of its home's ledger, if that can be read in time.
pub async fn recall(
    state: &state::State,
    holder: &name::Incarnation,
    key: &once::Key,
    print: once::Print,
    limit: time::Duration,
) -> Option<once::Begin> {
    let reading = read(state, holder, key);
    let (pages, end) = tokio::time::timeout(limit.min(RECALL_LIMIT), reading)
        .await
        .ok()??;
    once::recall(key, print, &pages, end)
}

/// Reads the end mark first: every page is older than it.
async fn read(
    state: &state::State,
    holder: &name::Incarnation,
    key: &once::Key,
) -> Option<(Vec<once::Page>, Option<once::End>)> {
    let end = state.platform.get(&end_name(holder)).await.ok()?;
    let end = end.and_then(|body| serde_json::from_slice(&body).ok());
    let folder = match key.home() {
        Some(home) => folder(holder, home.generation()),
        None => format!("once/{holder}/page"),
    };
    let names = state.platform.list(&format!("{folder}/")).await.ok()?;
    let mut pages = Vec::new();
    for name in names {
        let body = state.platform.get(&name).await.ok()??;
        pages.push(serde_json::from_slice(&body).ok()?);
    }
    Some((pages, end))
}

fn folder(holder: &name::Incarnation, generation: u64) -> String {
    format!("once/{holder}/page/{generation}")
}

fn end_name(holder: &name::Incarnation) -> String {
    format!("once/{holder}/end")
}
