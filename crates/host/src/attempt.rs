//! One attempt of a request at a target.

use std::sync;

use skylark_core::traffic;

use super::queue;
use super::retry_token;
use super::state;

/// A request's place at a target, from the choice of the target on.
///
/// The place is given up when the attempt is dropped, wherever that happens: in the queue, on its
/// way to the request, or with a request whose caller has left.
#[derive(Debug)]
pub(crate) struct Attempt {
    state: sync::Arc<state::State>,
    request: traffic::Request,
    pick: traffic::Pick,
    result: traffic::AttemptResult,
    retry: Option<retry_token::RetryToken>,
}

impl Attempt {
    /// Takes over the place that the dispatcher has counted for a request.
    pub(crate) fn new(
        state: &sync::Arc<state::State>,
        request: traffic::Request,
        pick: traffic::Pick,
    ) -> Self {
        Self {
            state: sync::Arc::clone(state),
            request,
            pick,
            result: traffic::AttemptResult::Unsent,
            retry: None,
        }
    }

    /// Adds the retry token that is spent once the request is sent.
    pub(crate) fn set_retry(&mut self, retry: Option<retry_token::RetryToken>) {
        self.retry = retry;
    }

    /// Returns the selected target.
    pub(crate) const fn pick(&self) -> &traffic::Pick {
        &self.pick
    }

    /// Records that the request is handed to a connection, so that the target may get it.
    pub(crate) const fn record_send(&mut self) {
        self.result = traffic::AttemptResult::Cancelled;
    }

    /// Records that the connection was closed before anything of the request was sent.
    pub(crate) const fn record_unsent(&mut self) {
        self.result = traffic::AttemptResult::Unsent;
    }

    /// Ends the attempt with its result.
    pub(crate) fn end(mut self, result: traffic::AttemptResult) {
        self.result = result;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.result != traffic::AttemptResult::Unsent
            && let Some(retry) = self.retry.take()
        {
            retry.spend();
        }
        let now = self.state.clock.now();
        self.state.cluster().dispatcher_mut().record_result(
            &self.request,
            &self.pick,
            self.result,
            now,
        );
        queue::dispatch(&self.state);
    }
}
