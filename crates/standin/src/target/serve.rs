//! HTTP server of a stand-in target.

use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use futures::future;
use futures::stream;
use http_body_util::BodyExt as _;
use http_body_util::combinators;
use hyper::header;
use hyper::service;
use hyper_util::rt;
use skylark_wire::header as wire_header;

use super::fault;
use super::state;
use crate::error;
use crate::options;

/// Bytes of a request body that the response repeats.
const MAX_ECHO_BYTES: usize = 256;

type Body = combinators::BoxBody<Bytes, IncompleteResponse>;

/// Serves stand-in targets, each on its own address, until the process ends.
///
/// # Errors
///
/// Fails when an address cannot be bound or a connection cannot be accepted.
pub async fn serve(targets: &[options::Target]) -> error::Result<()> {
    let servers = targets.iter().map(serve_one);
    future::try_join_all(servers).await?;
    Ok(())
}

async fn serve_one(target: &options::Target) -> error::Result<()> {
    let address = target.address;
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .map_err(|cause| error::Error::Bind { address, cause })?;
    let processing_time = time::Duration::from_micros(target.work_micros);
    let state = sync::Arc::new(state::State::new(
        &target.name,
        target.slots,
        processing_time,
    ));
    loop {
        let (stream, _peer) = listener.accept().await?;
        let _ignored = stream.set_nodelay(true);
        let state = sync::Arc::clone(&state);
        tokio::spawn(async move {
            let handler = service::service_fn(|request| handle(sync::Arc::clone(&state), request));
            let http = hyper::server::conn::http1::Builder::new();
            let _closed = http
                .serve_connection(rt::TokioIo::new(stream), handler)
                .await;
        });
    }
}

/// Error that makes the server close a connection before the response is complete.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("connection closed before the response was complete")]
struct IncompleteResponse;

async fn handle(
    state: sync::Arc<state::State>,
    request: hyper::Request<hyper::body::Incoming>,
) -> Result<hyper::Response<Body>, IncompleteResponse> {
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_error| IncompleteResponse)?
        .to_bytes();
    match (head.method.as_str(), head.uri.path()) {
        ("PUT", "/standin/faults") => return Ok(set_faults(&state, &body)),
        ("GET", "/standin/report") => return Ok(json(&state.report())),
        _ => {}
    }
    if state.is_down() {
        return Err(IncompleteResponse);
    }
    let faults = state.faults();
    if faults.mode == fault::Mode::Shedding {
        let mut response = overload_response(&state, &faults);
        set_request_id(&mut response, &head);
        return Ok(response);
    }
    state.load.fetch_add(1, atomic::Ordering::Relaxed);
    let load_guard = LoadGuard(&state);
    let response = run(&state, &faults, &head, &body).await;
    drop(load_guard);
    response
}

/// Guard that takes a request off the load count when it is dropped.
struct LoadGuard<'a>(&'a state::State);

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.0.load.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

async fn run(
    state: &sync::Arc<state::State>,
    faults: &fault::Faults,
    head: &hyper::http::request::Parts,
    body: &Bytes,
) -> Result<hyper::Response<Body>, IncompleteResponse> {
    let _slot = state
        .slots
        .acquire()
        .await
        .map_err(|_error| IncompleteResponse)?;
    let path = head.uri.path();
    let key = head
        .headers
        .get(wire_header::IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok());
    let label = format!("{} {path}", head.method);
    state.count_start(key.unwrap_or(&label));
    let duration = state.processing_time + time::Duration::from_millis(faults.slow_millis);
    if faults.crash_path.as_deref() == Some(path) {
        crash_after(state, duration).await;
        return Err(IncompleteResponse);
    }
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
    if state.is_down() {
        return Err(IncompleteResponse);
    }
    Ok(success_response(state, faults, head, body))
}

/// Crashes the target after a delay.
///
/// The crash runs in a task of its own, so that it also happens when the caller disconnects
/// in the meantime and this future is dropped.
async fn crash_after(state: &sync::Arc<state::State>, delay: time::Duration) {
    let state = sync::Arc::clone(state);
    let crash = tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        state.crash();
    });
    let _crashed = crash.await;
}

fn success_response(
    state: &state::State,
    faults: &fault::Faults,
    head: &hyper::http::request::Parts,
    body: &Bytes,
) -> hyper::Response<Body> {
    let account = header_text(head, wire_header::ACCOUNT);
    let request_id = header_text(head, wire_header::REQUEST_ID);
    let body_start = String::from_utf8_lossy(&body[..body.len().min(MAX_ECHO_BYTES)]);
    let header_names: Vec<&str> = head
        .headers
        .keys()
        .map(header::HeaderName::as_str)
        .collect();
    let description = serde_json::json!({
        "target": state.name,
        "method": head.method.as_str(),
        "path": head.uri.path(),
        "query": head.uri.query(),
        "account": account,
        "request": request_id,
        "headers": header_names,
        "body": body_start,
    });
    let text = Bytes::from(description.to_string());
    let length = text.len();
    let body = match faults.mode {
        fault::Mode::Truncating => truncated_body(&text),
        fault::Mode::Normal | fault::Mode::Down | fault::Mode::Shedding => full_body(text),
    };
    let mut response = hyper::Response::new(body);
    set_load_headers(&mut response, state, faults);
    set_request_id(&mut response, head);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, header::HeaderValue::from(length));
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Echoes the id of the request, by which a host tells its answer from a late one.
fn set_request_id(response: &mut hyper::Response<Body>, head: &hyper::http::request::Parts) {
    let request_id = header_text(head, wire_header::REQUEST_ID);
    if let Ok(value) = header::HeaderValue::from_str(request_id) {
        response
            .headers_mut()
            .insert(wire_header::REQUEST_ID, value);
    }
}

fn full_body(text: Bytes) -> Body {
    http_body_util::Full::new(text)
        .map_err(|never| match never {})
        .boxed()
}

/// Returns a body that fails after the first half of the text.
fn truncated_body(text: &Bytes) -> Body {
    let half = text.slice(..text.len() / 2);
    let frames = [Ok(hyper::body::Frame::data(half)), Err(IncompleteResponse)];
    http_body_util::StreamBody::new(stream::iter(frames)).boxed()
}

fn header_text<'a>(head: &'a hyper::http::request::Parts, name: &str) -> &'a str {
    head.headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

fn set_load_headers(
    response: &mut hyper::Response<Body>,
    state: &state::State,
    faults: &fault::Faults,
) {
    let load = state.load.load(atomic::Ordering::Relaxed);
    let load = faults.reported_load.unwrap_or(load);
    response
        .headers_mut()
        .insert(wire_header::LOAD, header::HeaderValue::from(load));
    if faults.is_draining {
        response.headers_mut().insert(
            wire_header::DRAINING,
            header::HeaderValue::from_static("true"),
        );
    }
}

fn overload_response(state: &state::State, faults: &fault::Faults) -> hyper::Response<Body> {
    let mut response = status(503);
    set_load_headers(&mut response, state, faults);
    response.headers_mut().insert(
        wire_header::NOT_STARTED,
        header::HeaderValue::from_static("true"),
    );
    response
}

fn set_faults(state: &state::State, body: &Bytes) -> hyper::Response<Body> {
    match serde_json::from_slice(body) {
        Ok(faults) => {
            state.set_faults(faults);
            status(200)
        }
        Err(_error) => status(400),
    }
}

fn json<T: serde::Serialize>(value: &T) -> hyper::Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => hyper::Response::new(full_body(Bytes::from(body))),
        Err(_error) => status(500),
    }
}

fn status(code: u16) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(full_body(Bytes::new()));
    *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    response
}
