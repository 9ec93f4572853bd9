//! HTTP routes of the stand-in platform, with JSON bodies.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::service;
use hyper_util::rt;
use skylark_wire::platform;

use super::fault;
use super::store;
use crate::error;

type SharedStore = sync::Arc<sync::Mutex<store::Store>>;
type Body = http_body_util::Full<Bytes>;

/// Header that names the era of the contents in each response.
const ERA: &str = "store-era";

/// Serves the stand-in platform until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound or a connection cannot be accepted.
pub async fn serve(address: net::SocketAddr) -> error::Result<()> {
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .map_err(|cause| error::Error::Bind { address, cause })?;
    let shared = SharedStore::default();
    loop {
        let (stream, _peer) = listener.accept().await?;
        let shared = sync::Arc::clone(&shared);
        tokio::spawn(async move {
            let handler = service::service_fn(|request| handle(sync::Arc::clone(&shared), request));
            let http = hyper::server::conn::http1::Builder::new();
            let _closed = http
                .serve_connection(rt::TokioIo::new(stream), handler)
                .await;
        });
    }
}

/// Error that makes the server close a connection without a response.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("connection closed without a response")]
struct NoResponse;

async fn handle(
    shared: SharedStore,
    request: hyper::Request<hyper::body::Incoming>,
) -> Result<hyper::Response<Body>, NoResponse> {
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_error| NoResponse)?
        .to_bytes();
    let path = head.uri.path();
    let mut segments = path.trim_start_matches('/').splitn(2, '/');
    let resource = segments.next().unwrap_or_default();
    let subpath = segments.next().unwrap_or_default();
    {
        let mut store = lock(&shared);
        if let Some(response) = control(&mut store, &head.method, resource, &body) {
            return Ok(with_era(response, &store));
        }
    }
    let faults = lock(&shared).faults;
    tokio::time::sleep(time::Duration::from_millis(faults.slow_millis)).await;
    if faults.down {
        return Err(NoResponse);
    }
    let response = {
        let mut store = lock(&shared);
        let response = respond(&mut store, &head.method, resource, subpath, &body);
        with_era(response, &store)
    };
    let is_write = head.method != hyper::Method::GET;
    if is_write && take_lost_response(&shared) {
        return Err(NoResponse);
    }
    Ok(response)
}

fn lock(shared: &SharedStore) -> sync::MutexGuard<'_, store::Store> {
    shared.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn take_lost_response(shared: &SharedStore) -> bool {
    let mut store = lock(shared);
    let is_lost = store.faults.lost_responses > 0;
    store.faults.lost_responses = store.faults.lost_responses.saturating_sub(1);
    is_lost
}

fn with_era(mut response: hyper::Response<Body>, store: &store::Store) -> hyper::Response<Body> {
    response.headers_mut().insert(ERA, store.era().into());
    response
}

/// Serves the control routes of tests (faults, hosts, copies, counts), which also work while it is
/// down.
fn control(
    store: &mut store::Store,
    method: &hyper::Method,
    resource: &str,
    body: &Bytes,
) -> Option<hyper::Response<Body>> {
    match (method.as_str(), resource) {
        ("PUT", "faults") => {
            let Ok(faults) = serde_json::from_slice::<fault::Faults>(body) else {
                return Some(status(400));
            };
            store.faults = faults;
            Some(status(200))
        }
        ("PUT", "hosts") => {
            let Ok(hosts) = serde_json::from_slice::<Vec<platform::HostEntry>>(body) else {
                return Some(status(400));
            };
            store.hosts = hosts;
            Some(status(200))
        }
        ("PUT", "copy") => {
            store.keep_copy();
            Some(status(200))
        }
        ("PUT", "restore") if store.restore() => Some(status(200)),
        ("PUT", "restore") => Some(status(404)),
        ("GET", "counts") => Some(json(&store.counts)),
        _ => None,
    }
}

fn respond(
    store: &mut store::Store,
    method: &hyper::Method,
    resource: &str,
    subpath: &str,
    body: &Bytes,
) -> hyper::Response<Body> {
    match (method.as_str(), resource) {
        ("GET", "table") => read_table(store, subpath),
        ("POST", "table") => commit(store, body),
        ("PUT", "objects") => {
            store.put(subpath, body.to_vec());
            status(200)
        }
        ("GET", "objects") => match store.get(subpath) {
            Some(object) => hyper::Response::new(Body::from(object)),
            None => status(404),
        },
        ("GET", "list") => json(&store.list(subpath)),
        ("GET", "hosts") => json(&store.hosts),
        _ => status(404),
    }
}

fn read_table(store: &mut store::Store, subpath: &str) -> hyper::Response<Body> {
    if let Some(key) = subpath.strip_prefix("row/") {
        return store.row(key).map_or_else(|| status(404), |row| json(&row));
    }
    match subpath.strip_prefix("rows/") {
        Some(prefix) => json(&store.rows(prefix)),
        None => status(404),
    }
}

fn commit(store: &mut store::Store, body: &Bytes) -> hyper::Response<Body> {
    let Ok(commit) = serde_json::from_slice::<platform::Commit>(body) else {
        return status(400);
    };
    match store.commit(commit) {
        Ok(()) => status(200),
        Err(key) => {
            let mut response = hyper::Response::new(Body::from(key));
            *response.status_mut() = hyper::StatusCode::CONFLICT;
            response
        }
    }
}

fn status(code: u16) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(Body::default());
    *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    response
}

fn json<T: serde::Serialize>(value: &T) -> hyper::Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => hyper::Response::new(Body::from(body)),
        Err(_error) => status(500),
    }
}
