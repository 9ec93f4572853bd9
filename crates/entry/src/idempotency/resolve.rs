//! Decisions on keys from copies of ledgers in the object store, for homes that do not reply.

use std::collections;
use std::sync;
use std::time;

use futures::StreamExt as _;
use skylark_core::idempotency;
use skylark_core::instant;
use skylark_core::name;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use super::copy;
use crate::state;

/// Longest time for reading a copy.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Age up to which a copy is used again.
const MAX_COPY_AGE: time::Duration = time::Duration::from_secs(2);
/// Copies in the cache.
const MAX_CACHED_COPIES: usize = 8;
/// Size below which a copy is cached.
const MAX_CACHED_COPY_BYTES: usize = 4 << 20;
/// Pages that are read concurrently.
const MAX_CONCURRENT_READS: usize = 32;

/// Cache of copies that were read recently, so that many repeated requests cost one read.
#[derive(Debug, Default)]
pub struct CopyCache {
    copies: tokio::sync::Mutex<collections::HashMap<Location, Copy>>,
}

/// Location of the pages that can contain the outcome of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Location {
    holder: name::Incarnation,
    segment: Option<u64>,
}

/// The pages of one location and the end marker, as they were read.
#[derive(Clone, Debug)]
struct Copy {
    pages: sync::Arc<[idempotency::Page]>,
    end: Option<idempotency::EndMarker>,
    read_at: instant::Instant,
}

impl Copy {
    fn size(&self) -> usize {
        let entries = self.pages.iter().flat_map(|page| &page.entries);
        entries
            .map(|entry| size_of::<idempotency::Entry>() + entry.size())
            .sum()
    }
}

/// Returns the decision on a key from the copy of its home's ledger.
///
/// Returns none if the copy cannot be read in time or does not prove a decision.
pub async fn resolve(
    state: &state::State,
    holder: &name::Incarnation,
    key: &idempotency::Key,
    fingerprint: idempotency::Fingerprint,
    timeout: time::Duration,
) -> Option<idempotency::Disposition> {
    let location = Location {
        holder: holder.clone(),
        segment: key.home().map(idempotency::Home::segment),
    };
    let reading = read_recent(state, location);
    let copy = tokio::time::timeout(timeout.min(READ_TIMEOUT), reading)
        .await
        .ok()??;
    idempotency::resolve(key, fingerprint, &copy.pages, copy.end)
}

/// Returns a copy from the cache, or reads it and adds it to the cache if there is room.
async fn read_recent(state: &state::State, location: Location) -> Option<Copy> {
    let mut copies = state.copies.copies.lock().await;
    let now = state.clock.now();
    copies.retain(|_location, copy| now.since(copy.read_at) < MAX_COPY_AGE);
    if let Some(copy) = copies.get(&location) {
        return Some(copy.clone());
    }
    let copy = read_copy(state, &location, now).await?;
    if copies.len() < MAX_CACHED_COPIES && copy.size() < MAX_CACHED_COPY_BYTES {
        copies.insert(location, copy.clone());
    }
    Some(copy)
}

/// Reads a copy: the end marker first, as every page was written before it.
async fn read_copy(
    state: &state::State,
    location: &Location,
    read_at: instant::Instant,
) -> Option<Copy> {
    let end = state
        .platform
        .get(&copy::end_marker_name(&location.holder))
        .await
        .ok()?;
    let end = end.and_then(|body| serde_json::from_slice(&body).ok());
    let prefix = match location.segment {
        Some(segment) => format!("{}/", copy::segment_prefix(&location.holder, segment)),
        None => copy::page_prefix(&location.holder),
    };
    let names = state.platform.list(&prefix).await.ok()?;
    let reads = names
        .into_iter()
        .map(|name| read_page(&state.platform, name));
    let reads = futures::stream::iter(reads).buffer_unordered(MAX_CONCURRENT_READS);
    let pages: Vec<Option<idempotency::Page>> = reads.collect().await;
    let pages: Option<Vec<idempotency::Page>> = pages.into_iter().collect();
    let pages = pages?.into();
    Some(Copy {
        pages,
        end,
        read_at,
    })
}

async fn read_page(platform: &platform::Client, name: String) -> Option<idempotency::Page> {
    let body = platform.get(&name).await.ok()??;
    serde_json::from_slice(&body).ok()
}
