//! The stand-in platform over HTTP with JSON.

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

type Shared = sync::Arc<sync::Mutex<store::Store>>;
type Body = http_body_util::Full<Bytes>;

/// Serves the stand-in platform until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve(address: net::SocketAddr) -> error::Result<()> {
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .map_err(|cause| error::Error::Bind { address, cause })?;
    let shared = Shared::default();
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

/// A connection that ends without an answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("no answer")]
struct NoAnswer;

async fn handle(
    shared: Shared,
    request: hyper::Request<hyper::body::Incoming>,
) -> Result<hyper::Response<Body>, NoAnswer> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_error| NoAnswer)?.to_bytes();
    let path = head.uri.path();
    let mut parts = path.trim_start_matches('/').splitn(2, '/');
    let area = parts.next().unwrap_or_default();
    let rest = parts.next().unwrap_or_default();
    if let Some(answer) = steer(&shared, &head.method, area, &body) {
        return Ok(answer);
    }
    let faults = lock(&shared).faults;
    tokio::time::sleep(time::Duration::from_millis(faults.slow_millis)).await;
    if faults.down {
        return Err(NoAnswer);
    }
    let answer = answer(&mut lock(&shared), &head.method, area, rest, &body);
    let is_write = head.method != hyper::Method::GET;
    if is_write && lose_answer(&shared) {
        return Err(NoAnswer);
    }
    Ok(answer)
}

fn lock(shared: &Shared) -> sync::MutexGuard<'_, store::Store> {
    shared.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn lose_answer(shared: &Shared) -> bool {
    let mut store = lock(shared);
    let is_lost = store.faults.lose_answers > 0;
    store.faults.lose_answers = store.faults.lose_answers.saturating_sub(1);
    is_lost
}

/// Answers what tests ask of the stand-in itself, also while it is down.
fn steer(
    shared: &Shared,
    method: &hyper::Method,
    area: &str,
    body: &Bytes,
) -> Option<hyper::Response<Body>> {
    let mut store = lock(shared);
    match (method.as_str(), area) {
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
        ("GET", "counts") => Some(json(&store.counts)),
        _ => None,
    }
}

fn answer(
    store: &mut store::Store,
    method: &hyper::Method,
    area: &str,
    rest: &str,
    body: &Bytes,
) -> hyper::Response<Body> {
    match (method.as_str(), area) {
        ("GET", "table") => read_table(store, rest),
        ("POST", "table") => commit(store, body),
        ("PUT", "objects") => {
            store.put(rest, body.to_vec());
            status(200)
        }
        ("GET", "objects") => match store.get(rest) {
            Some(object) => hyper::Response::new(Body::from(object)),
            None => status(404),
        },
        ("GET", "list") => json(&store.list(rest)),
        ("GET", "hosts") => json(&store.hosts),
        _ => status(404),
    }
}

fn read_table(store: &mut store::Store, rest: &str) -> hyper::Response<Body> {
    if let Some(key) = rest.strip_prefix("row/") {
        return store.row(key).map_or_else(|| status(404), |row| json(&row));
    }
    match rest.strip_prefix("rows/") {
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
            let mut answer = hyper::Response::new(Body::from(key));
            *answer.status_mut() = hyper::StatusCode::CONFLICT;
            answer
        }
    }
}

fn status(code: u16) -> hyper::Response<Body> {
    let mut answer = hyper::Response::new(Body::default());
    *answer.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    answer
}

fn json<T: serde::Serialize>(value: &T) -> hyper::Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => hyper::Response::new(Body::from(body)),
        Err(_error) => status(500),
    }
}
