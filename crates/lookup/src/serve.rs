//! HTTP server that answers look-ups from callers.

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

const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);
const PATH: &str = "/entry-hosts";

type Body = http_body_util::Full<Bytes>;

/// Binds the address on which callers send look-ups.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn bind(address: net::SocketAddr) -> error::Result<tokio::net::TcpListener> {
    let listener = tokio::net::TcpListener::bind(address).await;
    listener.map_err(|cause| error::Error::Bind { address, cause })
}

/// Accepts connections and answers look-ups until the shutdown is requested.
pub async fn run(
    listener: tokio::net::TcpListener,
    state: &sync::Arc<state::State>,
    stop: &shutdown::Shutdown,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _peer)) => spawn_connection(stream, state),
                Err(error) => {
                    log::warn!(error:% = error; "connection could not be accepted; retrying after a delay");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = stop.requested() => return,
        }
    }
}

fn spawn_connection(stream: tokio::net::TcpStream, state: &sync::Arc<state::State>) {
    let _ignored = stream.set_nodelay(true);
    let state = sync::Arc::clone(state);
    let responder = service::service_fn(move |request| {
        let response = respond(&state, &request);
        async move { Ok::<_, convert::Infallible>(response) }
    });
    let http = hyper::server::conn::http1::Builder::new();
    let connection = http.serve_connection(rt::TokioIo::new(stream), responder);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:% = error; "connection ended with an error");
        }
    });
}

fn respond(
    state: &state::State,
    request: &hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<Body> {
    if request.uri().path() != PATH {
        return empty_response(hyper::StatusCode::NOT_FOUND);
    }
    let zone = query_zone(request.uri()).unwrap_or(state.settings.zone.as_str());
    let Some(content) = state
        .refreshed_view()
        .answers
        .get(zone, state.next_rotation())
    else {
        let _sent = state.metrics.incr("refused");
        return empty_response(hyper::StatusCode::SERVICE_UNAVAILABLE);
    };
    let _sent = state.metrics.incr("answered");
    let mut response = hyper::Response::new(Body::new(content));
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns the value of the `zone` query parameter, if there is one.
fn query_zone(uri: &hyper::Uri) -> Option<&str> {
    let parameters = uri.query()?.split('&');
    parameters
        .filter_map(|parameter| parameter.split_once('='))
        .find(|(name, _)| *name == "zone")
        .map(|(_, value)| value)
}

fn empty_response(status: hyper::StatusCode) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(Body::default());
    *response.status_mut() = status;
    response
}
