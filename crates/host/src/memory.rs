//! Memory budget for bodies, shared by all requests.

use std::sync;
use std::sync::atomic;

/// Bytes of bodies that may be buffered at once. With the overhead of allocation this is a third of
/// the memory of the smallest host.
const MAX_BYTES: usize = 32 * 1_024 * 1_024;

/// Bytes of bodies that the process buffers.
///
/// Many slow callers would otherwise exhaust the memory: what has arrived of their
/// bodies is buffered until the rest arrives.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budget {
    reserved: sync::Arc<atomic::AtomicUsize>,
}

/// Bytes that one request buffers, released when it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// Returns a reservation of no bytes.
    pub(crate) fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Adds bytes, also beyond the budget; returns whether they were within it.
    pub(crate) fn add(&mut self, bytes: usize) -> bool {
        let before = self
            .budget
            .reserved
            .fetch_add(bytes, atomic::Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= MAX_BYTES
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .reserved
            .fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}
