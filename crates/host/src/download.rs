//! Watches a long response that is passed on while it still arrives.

use std::sync;
use std::time;

use skylark_core::instant;
use skylark_core::traffic;

use super::state;

/// Time since the last read after which the caller, not the target, is taken to be slow.
const SLOW_CALLER_TIME: time::Duration = time::Duration::from_millis(250);

/// A response whose rest is passed on as it arrives.
#[derive(Debug)]
pub(crate) struct Download {
    state: sync::Arc<state::State>,
    pick: traffic::Pick,
    /// Id of the request.
    request: String,
    /// When the caller last had room for more.
    read_at: instant::Instant,
    /// Whether the caller had room for more and nothing had arrived.
    is_waiting: bool,
}

impl Download {
    /// Watches the response of a target to a request.
    pub(crate) fn new(
        state: &sync::Arc<state::State>,
        pick: &traffic::Pick,
        request: &str,
    ) -> Self {
        Self {
            state: sync::Arc::clone(state),
            pick: pick.clone(),
            request: request.to_owned(),
            read_at: state.clock.now(),
            is_waiting: false,
        }
    }

    /// Records that the caller had room for more; `is_waiting` tells that nothing had arrived.
    pub(crate) fn record_read(&mut self, is_waiting: bool) {
        self.read_at = self.state.clock.now();
        self.is_waiting = is_waiting;
    }

    /// Records that the response was cut off, a failure of the target unless the caller read slowly.
    pub(crate) fn record_cut(&self) {
        let now = self.state.clock.now();
        let is_caller_slow = !self.is_waiting && now.since(self.read_at) > SLOW_CALLER_TIME;
        log::warn!(
            request = self.request.as_str(), target_id:% = self.pick.target,
            slow_caller = is_caller_slow; "response cut off while it was passed on"
        );
        if !is_caller_slow {
            let mut cluster = self.state.cluster();
            cluster.dispatcher_mut().record_cut(&self.pick, now);
        }
    }
}
