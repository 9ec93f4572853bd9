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
const MIN_BUFFER_BYTES: usize = 16 * 1_024;
/// Time on top of the longest idle time that callers may use.
const IDLE_MARGIN: time::Duration = time::Duration::from_secs(1);
/// Time between two looks at the requests that are left during a stop.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Look-up answers that callers may keep one after the other.
const DRAIN_LOOKUP_TTLS: u32 = 3;
/// Time before the end by force by which the process ends itself.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(300);
/// Pause after a failed accept, when descriptors are short.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Takes callers' connections until the task is dropped.
pub(crate) async fn serve(
    listener: sync::Arc<tokio::net::TcpListener>,
    state: sync::Arc<state::State>,
) -> error::Result<()> {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _peer)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "connection of a caller not taken");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(error:% = error; "connection without TCP_NODELAY");
        }
        tokio::spawn(connection(stream, sync::Arc::clone(&state)));
    }
}

async fn connection(stream: tokio::net::TcpStream, state: sync::Arc<state::State>) {
    let limits = {
        let cluster = state.cluster();
        cluster
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
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(rt::TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(error:% = error; "connection of a caller ended early");
    }
}

/// Stops: nothing new is sent here, and what runs is finished.
pub(crate) async fn drain(state: &sync::Arc<state::State>) {
    state.begin_stop();
    let began = state.clock.now();
    let grace = state.settings().grace_period;
    log::info!(busy = state.busy.load(atomic::Ordering::Relaxed), grace:? = grace; "stopping");
    let max_time = grace.saturating_sub(EXIT_MARGIN);
    let min_time = (state.lookup_ttl() * DRAIN_LOOKUP_TTLS).min(max_time);
    loop {
        let passed = state.clock.now().since(began);
        let busy = state.busy.load(atomic::Ordering::Relaxed);
        if passed >= max_time || (passed >= min_time && busy == 0) {
            log::info!(busy, passed:? = passed; "last requests ended");
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
