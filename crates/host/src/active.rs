//! Counts the requests that a planned stop must wait for.

use std::sync;
use std::sync::atomic;

use super::state;

/// A request that counts as active until the last byte of its response was handed over.
#[derive(Debug)]
pub(crate) struct ActiveRequest(sync::Arc<state::State>);

impl ActiveRequest {
    /// Counts a request.
    pub(crate) fn new(state: &sync::Arc<state::State>) -> Self {
        state.busy.fetch_add(1, atomic::Ordering::Relaxed);
        Self(sync::Arc::clone(state))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
