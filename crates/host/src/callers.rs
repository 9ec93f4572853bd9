//! Connections of callers.

use std::convert;
use std::sync;
use std::sync::atomic;
use std::time;

use hyper_util::rt;

use super::error;
use super::pipeline;
use super::state;

/// Bytes of a caller's connection that are read ahead at least; the library needs 8 KiB.
const SMALLEST_BUFFER: usize = 16 * 1_024;
/// Time on top of the longest idle time that callers may use.
const IDLE_MARGIN: time::Duration = time::Duration::from_secs(1);
/// Time between two looks at the requests that are left during a stop.
const LOOK: time::Duration = time::Duration::from_millis(50);
/// Look-up answers that callers may keep one after the other.
const KEPT_ANSWERS: u32 = 3;
/// Time before the end by force by which the process ends itself.
const END_MARGIN: time::Duration = time::Duration::from_millis(300);
/// Pause after a failed accept, when descriptors are short.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Takes callers' connections until the task is dropped.
pub(crate) async fn serve(
    listener: sync::Arc<tokio::net::TcpListener>,
    state: sync::Arc<state::State>,
) -> error::Result<()> {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _peer)) => stream,
            Err(fault) => {
                log::warn!(error:% = fault; "connection of a caller not taken");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(fault) = stream.set_nodelay(true) {
            log::debug!(error:% = fault; "connection without TCP_NODELAY");
        }
        tokio::spawn(connection(stream, sync::Arc::clone(&state)));
    }
}

async fn connection(stream: tokio::net::TcpStream, state: sync::Arc<state::State>) {
    let limits = {
        let known = state.knowledge();
        known
            .dispatcher()
            .rules()
            .map_or_else(Default::default, |rules| rules.limits)
    };
    let service = hyper::service::service_fn(move |request| {
        let state = sync::Arc::clone(&state);
        async move { Ok::<_, convert::Infallible>(pipeline::serve(state, request).await) }
    });
    let idle = limits.idle_time.max(limits.head_time) + IDLE_MARGIN;
    let served = hyper::server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.head_bytes.max(SMALLEST_BUFFER))
        .serve_connection(rt::TokioIo::new(stream), service)
        .await;
    if let Err(fault) = served {
        log::debug!(error:% = fault; "connection of a caller ended early");
    }
}

/// Stops: nothing new is sent here, and what runs is finished.
pub(crate) async fn leave(state: &sync::Arc<state::State>) {
    state.leave();
    let began = state.clock.now();
    let grace = state.settings().grace;
    log::info!(busy = state.busy.load(atomic::Ordering::Relaxed), grace:? = grace; "stopping");
    let last = grace.saturating_sub(END_MARGIN);
    let first = (state.lookup_ttl() * KEPT_ANSWERS).min(last);
    loop {
        let passed = state.clock.now().since(began);
        let busy = state.busy.load(atomic::Ordering::Relaxed);
        if passed >= last || (passed >= first && busy == 0) {
            log::info!(busy, passed:? = passed; "last requests ended");
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
}
