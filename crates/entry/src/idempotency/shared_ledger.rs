//! The ledger of this process, shared by its tasks.

use std::collections;
use std::sync;
use std::sync::atomic;

use skylark_core::idempotency;
use skylark_core::instant;
use skylark_core::timestamp;
use tokio::sync::watch;

/// Most entries that wait to be copied to the object store.
const PENDING: usize = 20_000;

/// Most bytes of answers that wait to be copied.
const PENDING_BYTES: usize = 64 << 20;

/// Most entries that are copied at a time.
const BATCH: usize = 2_000;

/// The ledger of this process, with those that wait for an outcome.
#[derive(Debug)]
pub struct SharedLedger {
    inner: sync::Mutex<Inner>,
    lost: atomic::AtomicU64,
}

#[derive(Debug)]
struct Inner {
    ledger: idempotency::Ledger,
    running: collections::HashMap<idempotency::Id, watch::Sender<()>>,
    pending: collections::BTreeMap<u64, Pending>,
    bytes: usize,
    copied: u64,
}

/// An outcome that waits to be copied to the object store.
#[derive(Clone, Debug)]
pub struct Pending {
    /// Generation of the key.
    pub generation: u64,
    /// The outcome.
    pub entry: idempotency::Entry,
}

impl SharedLedger {
    /// Creates an empty ledger; `origin` is the wall-clock time at the clock's origin.
    #[must_use]
    pub fn new(origin: timestamp::Timestamp) -> Self {
        let ledger = idempotency::Ledger::new(idempotency::Limits::default(), origin);
        Self {
            inner: sync::Mutex::new(Inner {
                ledger,
                running: collections::HashMap::new(),
                pending: collections::BTreeMap::new(),
                bytes: 0,
                copied: 0,
            }),
            lost: atomic::AtomicU64::new(0),
        }
    }

    /// Decides whether a request may start.
    pub fn begin(
        &self,
        now: instant::Instant,
        key: &idempotency::Key,
        print: idempotency::Fingerprint,
    ) -> idempotency::Disposition {
        let mut inner = self.lock();
        let begin = inner.ledger.begin(now, key, print);
        inner.note(begin)
    }

    /// Decides for a key without a home, of which this process holds the claim.
    pub fn begin_claimed(
        &self,
        now: instant::Instant,
        key: &idempotency::Key,
        print: idempotency::Fingerprint,
    ) -> idempotency::Disposition {
        let mut inner = self.lock();
        let begin = inner.ledger.begin_claimed(now, key, print);
        inner.note(begin)
    }

    /// Records an outcome and wakes those that wait for it.
    pub fn finish(&self, permit: idempotency::Permit, fate: idempotency::FinalState) {
        let generation = permit.segment();
        let mut inner = self.lock();
        inner.running.remove(&permit.id());
        let entry = inner.ledger.finish(permit, fate);
        if let Some(entry) = entry {
            let number = inner.copied;
            inner.copied += 1;
            inner.bytes += entry.size();
            inner.pending.insert(number, Pending { generation, entry });
        }
        self.bound(&mut inner);
    }

    /// Returns what wakes when the outcome of a running key is known.
    #[must_use]
    pub fn waiter(&self, id: idempotency::Id) -> Option<watch::Receiver<()>> {
        let inner = self.lock();
        inner.running.get(&id).map(watch::Sender::subscribe)
    }

    /// Returns the outcomes that wait to be copied, by number; they go on waiting.
    #[must_use]
    pub fn pending(&self) -> Vec<(u64, Pending)> {
        let inner = self.lock();
        let pending = inner.pending.iter().take(BATCH);
        pending.map(|(number, p)| (*number, p.clone())).collect()
    }

    /// Forgets outcomes that were copied.
    pub fn copied(&self, numbers: &[u64]) {
        let mut inner = self.lock();
        for number in numbers {
            if let Some(pending) = inner.pending.remove(number) {
                inner.bytes -= pending.entry.size();
            }
        }
    }

    /// Returns how many keys the ledger remembers.
    #[must_use]
    pub fn keys(&self) -> u64 {
        u64::try_from(self.lock().ledger.len()).unwrap_or(u64::MAX)
    }

    /// Returns how many outcomes wait to be copied.
    #[must_use]
    pub fn waiting(&self) -> u64 {
        u64::try_from(self.lock().pending.len()).unwrap_or(u64::MAX)
    }

    /// Returns how many outcomes were dropped before they were copied.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.lost.load(atomic::Ordering::Relaxed)
    }

    /// Lets no further key start, for good.
    pub fn close(&self) {
        self.lock().ledger.leave();
    }

    /// Returns the mark that ends the copy, once nothing runs and every outcome is copied.
    #[must_use]
    pub fn end(&self) -> Option<idempotency::EndMarker> {
        let inner = self.lock();
        let is_copied = inner.pending.is_empty() && self.lost() == 0;
        inner.ledger.end_marker().filter(|_end| is_copied)
    }

    /// Returns the number of requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    fn bound(&self, inner: &mut Inner) {
        while inner.pending.len() > PENDING || inner.bytes > PENDING_BYTES {
            let Some((_number, pending)) = inner.pending.pop_first() else {
                break;
            };
            inner.bytes -= pending.entry.size();
            self.lost.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Inner {
    fn note(&mut self, begin: idempotency::Disposition) -> idempotency::Disposition {
        if let idempotency::Disposition::Start(permit) = &begin {
            self.running.insert(permit.id(), watch::Sender::new(()));
        }
        begin
    }
}
