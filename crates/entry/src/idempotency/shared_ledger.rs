//! Ledger of idempotency keys of this process, shared by its tasks.

use std::collections;
use std::sync;
use std::sync::atomic;

use skylark_core::idempotency;
use skylark_core::instant;
use skylark_core::timestamp;
use tokio::sync::watch;

/// Outcomes that are kept until they are copied to the object store.
const MAX_PENDING: usize = 20_000;

/// Bytes of the outcomes that are kept until they are copied.
const MAX_PENDING_BYTES: usize = 64 << 20;

/// Outcomes that are copied at a time.
const MAX_BATCH: usize = 2_000;

/// Ledger with the requests that wait for an outcome, and the outcomes that are to be copied.
#[derive(Debug)]
pub struct SharedLedger {
    inner: sync::Mutex<Inner>,
    dropped: atomic::AtomicU64,
}

#[derive(Debug)]
struct Inner {
    ledger: idempotency::Ledger,
    running: collections::HashMap<idempotency::Id, watch::Sender<()>>,
    pending: collections::BTreeMap<u64, Pending>,
    bytes: usize,
    next_number: u64,
}

/// An outcome that is to be copied to the object store.
#[derive(Clone, Debug)]
pub struct Pending {
    /// Number of the ledger segment that contains the key.
    pub segment: u64,
    /// Outcome of the request with the key.
    pub entry: idempotency::Entry,
}

impl SharedLedger {
    /// Creates an empty ledger; `origin` is the wall-clock time at the origin of the clock.
    #[must_use]
    pub fn new(origin: timestamp::Timestamp) -> Self {
        let ledger = idempotency::Ledger::new(idempotency::Limits::default(), origin);
        Self {
            inner: sync::Mutex::new(Inner {
                ledger,
                running: collections::HashMap::new(),
                pending: collections::BTreeMap::new(),
                bytes: 0,
                next_number: 0,
            }),
            dropped: atomic::AtomicU64::new(0),
        }
    }

    /// Decides whether a request may start whose key names this process as its home.
    pub fn begin(
        &self,
        now: instant::Instant,
        key: &idempotency::Key,
        fingerprint: idempotency::Fingerprint,
    ) -> idempotency::Disposition {
        let mut inner = self.lock();
        let disposition = inner.ledger.begin(now, key, fingerprint);
        inner.track_running(disposition)
    }

    /// Decides on a request whose key names no home and whose claim this process owns.
    pub fn begin_claimed(
        &self,
        now: instant::Instant,
        key: &idempotency::Key,
        fingerprint: idempotency::Fingerprint,
    ) -> idempotency::Disposition {
        let mut inner = self.lock();
        let disposition = inner.ledger.begin_claimed(now, key, fingerprint);
        inner.track_running(disposition)
    }

    /// Records an outcome, wakes the requests that wait for it, and queues it to be copied.
    pub fn finish(&self, permit: idempotency::Permit, final_state: idempotency::FinalState) {
        let segment = permit.segment();
        let mut inner = self.lock();
        inner.running.remove(&permit.id());
        let entry = inner.ledger.finish(permit, final_state);
        if let Some(entry) = entry {
            let number = inner.next_number;
            inner.next_number += 1;
            inner.bytes += entry.size();
            inner.pending.insert(number, Pending { segment, entry });
        }
        self.enforce_bounds(&mut inner);
    }

    /// Returns a receiver that is notified of the outcome of a running request; none if none runs.
    #[must_use]
    pub fn subscribe(&self, id: idempotency::Id) -> Option<watch::Receiver<()>> {
        let inner = self.lock();
        inner.running.get(&id).map(watch::Sender::subscribe)
    }

    /// Returns a batch of the oldest uncopied outcomes, by number, without removing them.
    #[must_use]
    pub fn pending(&self) -> Vec<(u64, Pending)> {
        let inner = self.lock();
        let pending = inner.pending.iter().take(MAX_BATCH);
        pending
            .map(|(number, outcome)| (*number, outcome.clone()))
            .collect()
    }

    /// Removes outcomes that were copied.
    pub fn remove_copied(&self, numbers: &[u64]) {
        let mut inner = self.lock();
        for number in numbers {
            if let Some(pending) = inner.pending.remove(number) {
                inner.bytes -= pending.entry.size();
            }
        }
    }

    /// Returns the number of keys in the ledger.
    #[must_use]
    pub fn key_count(&self) -> u64 {
        u64::try_from(self.lock().ledger.len()).unwrap_or(u64::MAX)
    }

    /// Returns the number of outcomes that are to be copied.
    #[must_use]
    pub fn pending_count(&self) -> u64 {
        u64::try_from(self.lock().pending.len()).unwrap_or(u64::MAX)
    }

    /// Returns the number of outcomes that were dropped before they were copied.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(atomic::Ordering::Relaxed)
    }

    /// Stops starting keys, for good.
    pub fn close(&self) {
        self.lock().ledger.leave();
    }

    /// Returns the end marker of the copy, once no request runs and every outcome is copied.
    ///
    /// There is none if outcomes were dropped: the marker proves that a key in no page never ran.
    #[must_use]
    pub fn end_marker(&self) -> Option<idempotency::EndMarker> {
        let inner = self.lock();
        let is_copied = inner.pending.is_empty() && self.dropped() == 0;
        inner.ledger.end_marker().filter(|_marker| is_copied)
    }

    /// Returns the number of requests that are running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    fn enforce_bounds(&self, inner: &mut Inner) {
        while inner.pending.len() > MAX_PENDING || inner.bytes > MAX_PENDING_BYTES {
            let Some((_number, pending)) = inner.pending.pop_first() else {
                break;
            };
            inner.bytes -= pending.entry.size();
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Inner {
    fn track_running(&mut self, disposition: idempotency::Disposition) -> idempotency::Disposition {
        if let idempotency::Disposition::Start(permit) = &disposition {
            self.running.insert(permit.id(), watch::Sender::new(()));
        }
        disposition
    }
}
