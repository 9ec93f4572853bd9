//! Bytes of bodies that the process holds, bounded over all requests.

use std::sync;
use std::sync::atomic;

/// Bytes of bodies that are held at most; a third of the smallest host's memory, with what is
/// allocated beyond the bytes.
const MAX_BYTES: usize = 32 * 1_024 * 1_024;

/// Bytes of bodies that the process holds.
///
/// It answers many callers that send slowly: what has arrived of their bodies
/// waits in memory until the rest is there.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budget {
    reserved: sync::Arc<atomic::AtomicUsize>,
}

/// Bytes that one request holds, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// Returns a hold of no bytes.
    pub(crate) fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Adds bytes; returns whether there was room for them.
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
