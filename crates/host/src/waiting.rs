//! Requests that wait for room at a service.

use std::sync;
use std::time;

use skylark_core::traffic;

use super::error;
use super::state;

/// Time between two looks at the requests that wait.
const LOOK: time::Duration = time::Duration::from_millis(5);

/// Tells a waiting request what becomes of it.
pub(crate) type Waker = tokio::sync::oneshot::Sender<traffic::Placement>;

/// Looks after the requests that wait, until the task is dropped.
pub(crate) async fn run(state: sync::Arc<state::State>) -> error::Result<()> {
    loop {
        state.line.notified().await;
        while state.knowledge().dispatcher().has_waiting() {
            tokio::time::sleep(LOOK).await;
            wake(&state);
        }
    }
}

/// Lets go of the requests that can be placed now, or have waited long enough.
pub(crate) fn wake(state: &state::State) {
    let now = state.clock.now();
    let mut known = state.knowledge();
    if !known.dispatcher().has_waiting() {
        return;
    }
    let woken = known.dispatcher_mut().dequeue(now);
    for one in woken {
        tell(known.dispatcher_mut(), one, now);
    }
}

/// Tells a request what becomes of it; a target that it can no longer use is free again.
pub(crate) fn tell(
    desk: &mut traffic::Dispatcher<Waker>,
    woken: traffic::Dequeued<Waker>,
    now: skylark_core::instant::Instant,
) {
    if let Err(traffic::Placement::Send(pick)) = woken.item.send(woken.placement) {
        desk.record_result(
            &woken.request,
            &pick,
            traffic::AttemptResult::Cancelled,
            now,
        );
    }
}
