//! A retry from the retry budget of a service.

use std::sync;

use skylark_core::name;

use super::state;

/// A retry from the retry budget of a service; returned when it is dropped without being spent.
#[derive(Debug)]
pub(crate) struct RetryToken {
    state: sync::Arc<state::State>,
    service: name::Service,
    is_spent: bool,
}

impl RetryToken {
    /// Takes a retry from a service's budget, or returns `None` if none is left.
    pub(crate) fn take(state: &sync::Arc<state::State>, service: &name::Service) -> Option<Self> {
        let is_allowed = state.cluster().dispatcher_mut().take_retry(service);
        is_allowed.then(|| Self {
            state: sync::Arc::clone(state),
            service: service.clone(),
            is_spent: false,
        })
    }

    /// Spends the retry, as its request is sent.
    pub(crate) fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for RetryToken {
    fn drop(&mut self) {
        if !self.is_spent {
            let mut cluster = self.state.cluster();
            cluster.dispatcher_mut().return_retry(&self.service);
        }
    }
}
