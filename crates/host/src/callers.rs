//! HTTP server for callers, and the drain before the process stops.

use std::sync;
use std::sync::atomic;
use std::time;

use hyper_util::rt;
use skylark_runtime::field;

use super::caller_stream;
use super::connection;
use super::error;
use super::state;

/// Smallest read buffer of a caller's connection; the HTTP library needs 8 KiB.
const MIN_BUFFER_BYTES: usize = 16 * 1_024;
/// Time added to the longest idle time that callers may use.
const IDLE_MARGIN: time::Duration = time::Duration::from_secs(1);
/// Time between two checks for requests that still run during the drain.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Shortest drain, in lifetimes of a look-up response; callers may cache several in a row.
const DRAIN_LOOKUP_TTLS: u32 = 3;
/// Time before the forced kill at which the process exits by itself.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(300);
/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Accepts callers' connections until the task is dropped.
pub(crate) async fn serve(
    listener: sync::Arc<tokio::net::TcpListener>,
    state: sync::Arc<state::State>,
) -> error::Result<()> {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _peer)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "caller connection could not be accepted; retrying after a delay");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(error:% = error; "TCP_NODELAY could not be set; small packets may be delayed");
        }
        tokio::spawn(serve_connection(stream, sync::Arc::clone(&state)));
    }
}

async fn serve_connection(stream: tokio::net::TcpStream, state: sync::Arc<state::State>) {
    let limits = {
        let cluster = state.cluster();
        cluster
            .dispatcher()
            .rules()
            .map_or_else(Default::default, |rules| rules.limits)
    };
    let stream = caller_stream::CallerStream::new(stream);
    let connection = sync::Arc::new(connection::Connection::new(&state, &stream));
    let service = hyper::service::service_fn(move |request| {
        let connection = sync::Arc::clone(&connection);
        async move { connection.serve(request).await }
    });
    let idle = limits.idle_time.max(limits.head_time) + IDLE_MARGIN;
    let served = hyper::server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(rt::TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(error:% = error; "caller connection ended with an error");
    }
}

/// Drains the host: readiness fails, running requests finish, and callers find other hosts.
pub(crate) async fn drain(state: &sync::Arc<state::State>) {
    state.begin_stop();
    let began = state.clock.now();
    let grace = state.settings().grace_period;
    log::info!(busy = state.busy.load(atomic::Ordering::Relaxed), grace:% = field::Millis(grace); "stop requested; draining");
    let max_time = grace.saturating_sub(EXIT_MARGIN);
    let min_time = (state.lookup_ttl() * DRAIN_LOOKUP_TTLS).min(max_time);
    loop {
        let passed = state.clock.now().since(began);
        let busy = state.busy.load(atomic::Ordering::Relaxed);
        let is_idle = busy == 0 && state.is_closed();
        if passed >= max_time || is_idle {
            log::info!(busy, passed:% = field::Millis(passed); "drain ended");
            return;
        }
        if passed >= min_time && busy == 0 {
            // What arrives between this check and the end is refused, not passed on and cut off.
            state.close();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
