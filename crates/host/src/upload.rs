//! Watches a long request body that is passed on while it still arrives.

use std::sync;

use skylark_core::traffic;

use super::state;

/// Why the rest of a caller's body cannot be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The caller broke off, or its encoding is not valid.
    CutOff,
    /// The body exceeds the limit of the rules.
    TooLong,
}

/// The fault of a body, for the exchange that sends it.
pub(crate) type FaultCell = sync::Arc<sync::OnceLock<Fault>>;

/// A request body on its way to a target, from the choice of the target on.
///
/// The target owes no answer before the body's end, nor while its connection opens.
#[derive(Debug)]
pub(crate) struct Upload {
    state: sync::Arc<state::State>,
    pick: traffic::Pick,
    fault: FaultCell,
    /// Whether the body's sending has begun.
    is_begun: bool,
}

impl Upload {
    /// Counts the body as on its way until the upload is dropped.
    pub(crate) fn new(
        state: &sync::Arc<state::State>,
        pick: &traffic::Pick,
        fault: &FaultCell,
    ) -> Self {
        let mut cluster = state.cluster();
        cluster.dispatcher_mut().record_upload_start(pick);
        Self {
            state: sync::Arc::clone(state),
            pick: pick.clone(),
            fault: FaultCell::clone(fault),
            is_begun: false,
        }
    }

    /// Records that the connection to the target asked for bytes of the body.
    pub(crate) const fn record_begin(&mut self) {
        self.is_begun = true;
    }

    /// Records why the body ends early; the first reason counts.
    pub(crate) fn record_fault(&self, fault: Fault) {
        self.fault.get_or_init(|| fault);
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        let mut cluster = self.state.cluster();
        let dispatcher = cluster.dispatcher_mut();
        if self.is_begun {
            dispatcher.record_upload_end(&self.pick, now);
        } else {
            dispatcher.record_unsent_upload_end(&self.pick, now);
        }
    }
}
