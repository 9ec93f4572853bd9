//! HTTP/1.1 server for callers, with a graceful shutdown.

use std::net;
use std::sync;
use std::time;

use hyper::service;
use hyper_util::rt;
use hyper_util::server::graceful;
use skylark_runtime::error;
use skylark_runtime::shutdown;

use super::pipeline;
use super::state;

/// Delay after a failed accept, so that a lasting failure does not keep a thread busy.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Opens the listening socket for callers.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn bind(address: net::SocketAddr) -> error::Result<tokio::net::TcpListener> {
    let listener = tokio::net::TcpListener::bind(address).await;
    listener.map_err(|cause| error::Error::Bind { address, cause })
}

/// Serves callers until a stop is requested and running requests have ended.
///
/// After the request it accepts connections for another `answer_ttl`: until then, callers may
/// still use a cached look-up answer that names this host. Running requests then have the drain
/// time of the settings to end.
pub async fn run(
    listener: tokio::net::TcpListener,
    state: &sync::Arc<state::State>,
    stop: &shutdown::Shutdown,
) {
    let connections = graceful::GracefulShutdown::new();
    accept_until(&listener, state, &connections, stop.requested()).await;
    state.begin_leaving();
    let grace = state.view().catalog.policy.answer_ttl.get();
    log::info!(grace_ms = grace.as_millis(); "shutdown started; accepting connections until cached look-up answers expire");
    accept_until(&listener, state, &connections, tokio::time::sleep(grace)).await;
    drop(listener);
    let finished = connections.shutdown();
    if tokio::time::timeout(state.settings.drain.get(), finished)
        .await
        .is_err()
    {
        log::warn!(
            "the drain time has passed with requests still running; continuing the shutdown"
        );
    }
}

async fn accept_until(
    listener: &tokio::net::TcpListener,
    state: &sync::Arc<state::State>,
    connections: &graceful::GracefulShutdown,
    end: impl Future<Output = ()>,
) {
    let mut end = std::pin::pin!(end);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _peer)) => serve_connection(stream, state, connections),
                Err(error) => {
                    log::warn!(error:% = error; "a connection could not be accepted; retrying after a short delay");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = &mut end => return,
        }
    }
}

fn serve_connection(
    stream: tokio::net::TcpStream,
    state: &sync::Arc<state::State>,
    connections: &graceful::GracefulShutdown,
) {
    let _ignored = stream.set_nodelay(true);
    let state = sync::Arc::clone(state);
    let respond = service::service_fn(move |request| {
        let state = sync::Arc::clone(&state);
        async move { Ok::<_, std::convert::Infallible>(pipeline::handle(&state, request).await) }
    });
    let http = hyper::server::conn::http1::Builder::new();
    let connection = http.serve_connection(rt::TokioIo::new(stream), respond);
    let watched = connections.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            log::debug!(error:% = error; "a connection of a caller ended with an error");
        }
    });
}
