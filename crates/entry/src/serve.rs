//! Connections of callers.

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

const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Listens for callers.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn bind(address: net::SocketAddr) -> error::Result<tokio::net::TcpListener> {
    let listener = tokio::net::TcpListener::bind(address).await;
    listener.map_err(|cause| error::Error::Bind { address, cause })
}

/// Serves callers until a stop is asked for and the longest cached look-up answer has run out.
pub async fn run(
    listener: tokio::net::TcpListener,
    state: &sync::Arc<state::State>,
    stop: &shutdown::Shutdown,
) {
    let connections = graceful::GracefulShutdown::new();
    accept_until(&listener, state, &connections, stop.requested()).await;
    state.leave();
    let grace = state.view().catalog.policy.answer_ttl.get();
    log::info!(grace_ms = grace.as_millis(); "leaving");
    accept_until(&listener, state, &connections, tokio::time::sleep(grace)).await;
    drop(listener);
    let finished = connections.shutdown();
    if tokio::time::timeout(state.settings.drain.get(), finished)
        .await
        .is_err()
    {
        log::warn!("requests still run at the end of the drain");
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
                Ok((stream, _peer)) => serve_one(stream, state, connections),
                Err(error) => {
                    log::warn!(error:% = error; "accept failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = &mut end => return,
        }
    }
}

fn serve_one(
    stream: tokio::net::TcpStream,
    state: &sync::Arc<state::State>,
    connections: &graceful::GracefulShutdown,
) {
    let _ignored = stream.set_nodelay(true);
    let state = sync::Arc::clone(state);
    let handler = service::service_fn(move |request| {
        let state = sync::Arc::clone(&state);
        async move { Ok::<_, std::convert::Infallible>(pipeline::handle(&state, request).await) }
    });
    let http = hyper::server::conn::http1::Builder::new();
    let connection = http.serve_connection(rt::TokioIo::new(stream), handler);
    let watched = connections.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            log::debug!(error:% = error; "connection closed");
        }
    });
}
