//! Budgets of bytes that are held at once, such as the bodies of all requests.

use std::sync;
use std::sync::atomic;

/// Bytes of bodies that may be buffered at once. With the overhead of allocation this is a third of
/// the memory of the smallest host.
pub(crate) const MAX_BODY_BYTES: usize = 32 * 1_024 * 1_024;

/// Bytes that are held at once.
///
/// Many slow callers would otherwise exhaust the memory: what has arrived of their
/// bodies is buffered until the rest arrives.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    max_bytes: usize,
    reserved: sync::Arc<atomic::AtomicUsize>,
}

/// Bytes that one request or answer holds, released when it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// Creates a budget of which nothing is reserved.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            reserved: sync::Arc::default(),
        }
    }

    /// Reserves bytes if they are within the budget, or if nothing else is reserved.
    pub(crate) fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.reserve();
        let is_within = reservation.add(bytes);
        let reserved = self.reserved.load(atomic::Ordering::Relaxed);
        (is_within || reserved == bytes).then_some(reservation)
    }

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
        before + bytes <= self.budget.max_bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .reserved
            .fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}
