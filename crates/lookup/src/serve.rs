//! Callers' look-ups over HTTP.

use std::convert;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use cadence::CountedExt as _;
use hyper::header;
use hyper::service;
use hyper_util::rt;
use skylark_runtime::error;
use skylark_runtime::shutdown;

use super::state;

const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);
const PATH: &str = "/entry-hosts";

type Body = http_body_util::Full<Bytes>;

/// Listens for callers.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn bind(address: net::SocketAddr) -> error::Result<tokio::net::TcpListener> {
    let listener = tokio::net::TcpListener::bind(address).await;
    listener.map_err(|cause| error::Error::Bind { address, cause })
}

/// Answers look-ups until a stop is asked for.
pub async fn run(
    listener: tokio::net::TcpListener,
    state: &sync::Arc<state::State>,
    stop: &shutdown::Shutdown,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _peer)) => serve_one(stream, state),
                Err(error) => {
                    log::warn!(error:% = error; "accept failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = stop.requested() => return,
        }
    }
}

fn serve_one(stream: tokio::net::TcpStream, state: &sync::Arc<state::State>) {
    let _ignored = stream.set_nodelay(true);
    let state = sync::Arc::clone(state);
    let handler = service::service_fn(move |request| {
        let answer = handle(&state, &request);
        async move { Ok::<_, convert::Infallible>(answer) }
    });
    let http = hyper::server::conn::http1::Builder::new();
    let connection = http.serve_connection(rt::TokioIo::new(stream), handler);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:% = error; "connection closed");
        }
    });
}

fn handle(
    state: &state::State,
    request: &hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<Body> {
    if request.uri().path() != PATH {
        return status(hyper::StatusCode::NOT_FOUND);
    }
    let zone = zone(request.uri()).unwrap_or(state.settings.zone.as_str());
    let Some(answer) = state.recent_view().answers.get(zone, state.next_turn()) else {
        let _sent = state.metrics.incr("refused");
        return status(hyper::StatusCode::SERVICE_UNAVAILABLE);
    };
    let _sent = state.metrics.incr("answered");
    let mut response = hyper::Response::new(Body::new(answer));
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns the caller's availability zone, if the query names one.
fn zone(uri: &hyper::Uri) -> Option<&str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == "zone")
        .map(|(_, v)| v)
}

fn status(code: hyper::StatusCode) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(Body::default());
    *response.status_mut() = code;
    response
}
