//! Queue of requests that wait for capacity of a service.

use std::sync;
use std::time;

use skylark_core::traffic;

use super::attempt;
use super::error;
use super::state;

/// Time between two checks of the queue.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Channel on which a queued request receives its placement.
pub(crate) type Waiter = tokio::sync::oneshot::Sender<Delivery>;

/// What a queued request receives.
#[derive(Debug)]
pub(crate) enum Delivery {
    /// A place at a target.
    Placed(Box<attempt::Attempt>),
    /// The request is refused and did not run.
    Refused(traffic::Refusal),
}

/// Dispatches queued requests until the task is dropped.
pub(crate) async fn run(state: sync::Arc<state::State>) -> error::Result<()> {
    loop {
        state.queue_changed.notified().await;
        while state.cluster().dispatcher().has_waiting() {
            tokio::time::sleep(POLL_INTERVAL).await;
            dispatch(&state);
        }
    }
}

/// Dispatches the requests that can be placed now, or have waited for their maximum time.
pub(crate) fn dispatch(state: &sync::Arc<state::State>) {
    let now = state.clock.now();
    let dequeued = {
        let mut cluster = state.cluster();
        let dispatcher = cluster.dispatcher_mut();
        dispatcher.retain_waiting(|waiter| !waiter.is_closed());
        dispatcher.dequeue(now)
    };
    for request in dequeued {
        deliver(state, request);
    }
}

/// Delivers a placement to its request. The cluster's state must not be locked, as a place that its
/// request does not take is given up here.
pub(crate) fn deliver(state: &sync::Arc<state::State>, dequeued: traffic::Dequeued<Waiter>) {
    let delivery = match dequeued.placement {
        traffic::Placement::Send(pick) => Delivery::Placed(Box::new(attempt::Attempt::new(
            state,
            dequeued.request,
            pick,
        ))),
        traffic::Placement::Refuse(refusal) => Delivery::Refused(refusal),
        traffic::Placement::Wait(_) => return,
    };
    drop(dequeued.item.send(delivery));
}
