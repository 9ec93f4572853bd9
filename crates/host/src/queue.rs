//! Queue of requests that wait for capacity of a service.

use std::sync;
use std::time;

use skylark_core::traffic;

use super::error;
use super::state;

/// Time between two checks of the queue.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Channel on which a queued request receives its placement.
pub(crate) type Waiter = tokio::sync::oneshot::Sender<traffic::Placement>;

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
pub(crate) fn dispatch(state: &state::State) {
    let now = state.clock.now();
    let mut cluster = state.cluster();
    if !cluster.dispatcher().has_waiting() {
        return;
    }
    let dequeued = cluster.dispatcher_mut().dequeue(now);
    for request in dequeued {
        deliver(cluster.dispatcher_mut(), request, now);
    }
}

/// Delivers a placement to its request; the slot of a request that is gone is released.
pub(crate) fn deliver(
    dispatcher: &mut traffic::Dispatcher<Waiter>,
    dequeued: traffic::Dequeued<Waiter>,
    now: skylark_core::instant::Instant,
) {
    if let Err(traffic::Placement::Send(pick)) = dequeued.item.send(dequeued.placement) {
        dispatcher.record_result(
            &dequeued.request,
            &pick,
            traffic::AttemptResult::Cancelled,
            now,
        );
    }
}
