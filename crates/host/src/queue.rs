//! Requests that wait for room at a service.

use std::sync;
use std::time;

use skylark_core::traffic;

use super::error;
use super::state;

/// Time between two looks at the requests that wait.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Tells a waiting request what becomes of it.
pub(crate) type Waiter = tokio::sync::oneshot::Sender<traffic::Placement>;

/// Looks after the requests that wait, until the task is dropped.
pub(crate) async fn run(state: sync::Arc<state::State>) -> error::Result<()> {
    loop {
        state.queue_changed.notified().await;
        while state.cluster().dispatcher().has_waiting() {
            tokio::time::sleep(POLL_INTERVAL).await;
            dispatch(&state);
        }
    }
}

/// Lets go of the requests that can be placed now, or have waited long enough.
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

/// Tells a request what becomes of it; a target that it can no longer use is free again.
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
