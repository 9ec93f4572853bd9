//! Decisions that wait to be stored as objects.

use std::io;
use std::sync;
use std::sync::atomic;
use std::time;

use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_wire::platform::Platform as _;

use super::exchange;
use super::state;

const FLUSH_PERIOD: time::Duration = time::Duration::from_millis(500);
const CAPACITY: usize = 65_536;

/// Decisions in memory, bounded.
#[derive(Debug, Default)]
pub struct Journal {
    waiting: sync::Mutex<Vec<Entry>>,
    lost: atomic::AtomicU64,
    batch: atomic::AtomicU64,
}

/// What was decided about one request.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct Entry {
    request: String,
    incarnation: name::Incarnation,
    micros: u64,
    target: Option<name::Target>,
    refusal: Option<kind::ErrorKind>,
}

/// Remembers what was decided about a request.
pub fn note(
    state: &state::State,
    id: &str,
    arrived: instant::Instant,
    result: &exchange::Result<exchange::Answer>,
) {
    let micros = state.clock.now().since(arrived).as_micros();
    let entry = Entry {
        request: id.to_owned(),
        incarnation: state.incarnation.clone(),
        micros: u64::try_from(micros).unwrap_or(u64::MAX),
        target: result.as_ref().ok().map(|answer| answer.target.clone()),
        refusal: result.as_ref().err().map(|refusal| refusal.kind),
    };
    let mut waiting = lock(&state.journal);
    if waiting.len() < CAPACITY {
        waiting.push(entry);
    } else {
        state.journal.lost.fetch_add(1, atomic::Ordering::Relaxed);
    }
}

/// Stores waiting decisions from time to time until the task is dropped.
///
/// # Errors
///
/// Never fails: decisions stay in memory while the platform is away.
pub async fn run(state: sync::Arc<state::State>) -> io::Result<()> {
    loop {
        tokio::time::sleep(FLUSH_PERIOD).await;
        flush(&state).await;
    }
}

/// Stores the waiting decisions as one object.
pub async fn flush(state: &state::State) {
    let entries: Vec<Entry> = std::mem::take(&mut *lock(&state.journal));
    if entries.is_empty() {
        return;
    }
    let batch = state.journal.batch.fetch_add(1, atomic::Ordering::Relaxed);
    let key = format!("decisions/{}/{batch:08}", state.incarnation);
    let body = serde_json::to_vec(&entries).unwrap_or_default();
    if let Err(error) = state.platform.put(&key, body).await {
        log::debug!(error:% = error, entries = entries.len(); "decisions not stored");
        restore(&state.journal, entries);
    }
}

fn restore(journal: &Journal, mut entries: Vec<Entry>) {
    let mut waiting = lock(journal);
    entries.append(&mut waiting);
    let lost = entries.len().saturating_sub(CAPACITY);
    entries.truncate(CAPACITY);
    *waiting = entries;
    let lost = u64::try_from(lost).unwrap_or(u64::MAX);
    journal.lost.fetch_add(lost, atomic::Ordering::Relaxed);
}

fn lock(journal: &Journal) -> sync::MutexGuard<'_, Vec<Entry>> {
    journal
        .waiting
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
}
