//! Reading the copies of other ledgers.

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

const LIMIT: time::Duration = time::Duration::from_secs(1);
const FRESH: time::Duration = time::Duration::from_secs(2);
const CACHED: usize = 8;
const CACHED_BYTES: usize = 4 << 20;
const READS_AT_ONCE: usize = 32;

/// CopyCache that were read lately, so that many resends cost one reading.
#[derive(Debug, Default)]
pub struct CopyCache {
    read: tokio::sync::Mutex<collections::HashMap<Place, Copy>>,
}

/// Where the outcome of a key is copied.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Place {
    holder: name::Incarnation,
    generation: Option<u64>,
}

/// The pages of one place, as they were read.
#[derive(Clone, Debug)]
struct Copy {
    pages: sync::Arc<[idempotency::Page]>,
    end: Option<idempotency::EndMarker>,
    at: instant::Instant,
}

impl Copy {
    fn size(&self) -> usize {
        let entries = self.pages.iter().flat_map(|page| &page.entries);
        entries
            .map(|entry| size_of::<idempotency::Entry>() + entry.size())
            .sum()
    }
}

/// Tells what became of a key from the copy of its home's ledger, if that can be read in time.
pub async fn resolve(
    state: &state::State,
    holder: &name::Incarnation,
    key: &idempotency::Key,
    print: idempotency::Fingerprint,
    limit: time::Duration,
) -> Option<idempotency::Disposition> {
    let place = Place {
        holder: holder.clone(),
        generation: key.home().map(idempotency::Home::segment),
    };
    let reading = read_fresh(state, place);
    let copy = tokio::time::timeout(limit.min(LIMIT), reading)
        .await
        .ok()??;
    idempotency::resolve(key, print, &copy.pages, copy.end)
}

/// Returns a copy that was read lately, by this call or another.
async fn read_fresh(state: &state::State, place: Place) -> Option<Copy> {
    let mut read = state.copies.read.lock().await;
    let now = state.clock.now();
    read.retain(|_place, copy| now.since(copy.at) < FRESH);
    if let Some(copy) = read.get(&place) {
        return Some(copy.clone());
    }
    let copy = read_now(state, &place, now).await?;
    if read.len() < CACHED && copy.size() < CACHED_BYTES {
        read.insert(place, copy.clone());
    }
    Some(copy)
}

/// Reads the end mark first: every page is older than it.
async fn read_now(state: &state::State, place: &Place, at: instant::Instant) -> Option<Copy> {
    let end = state
        .platform
        .get(&copy::end_name(&place.holder))
        .await
        .ok()?;
    let end = end.and_then(|body| serde_json::from_slice(&body).ok());
    let folder = match place.generation {
        Some(generation) => format!("{}/", copy::folder(&place.holder, generation)),
        None => copy::root(&place.holder),
    };
    let names = state.platform.list(&folder).await.ok()?;
    let reads = names.into_iter().map(|name| page(&state.platform, name));
    let reads = futures::stream::iter(reads).buffer_unordered(READS_AT_ONCE);
    let pages: Vec<Option<idempotency::Page>> = reads.collect().await;
    let pages: Option<Vec<idempotency::Page>> = pages.into_iter().collect();
    let pages = pages?.into();
    Some(Copy { pages, end, at })
}

async fn page(platform: &platform::Client, name: String) -> Option<idempotency::Page> {
    let body = platform.get(&name).await.ok()??;
    serde_json::from_slice(&body).ok()
}
