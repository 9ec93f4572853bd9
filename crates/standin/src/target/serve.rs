//! A stand-in target over HTTP.

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
use skylark_wire::header as names;

use super::fault;
use super::state;
use crate::error;
use crate::options;

const BODY_LIMIT: usize = 256;

type Body = combinators::BoxBody<Bytes, Gone>;

/// Serves stand-in targets until the process ends.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn serve(targets: &[options::Target]) -> error::Result<()> {
    let running = targets.iter().map(serve_one);
    future::try_join_all(running).await?;
    Ok(())
}

async fn serve_one(target: &options::Target) -> error::Result<()> {
    let address = target.address;
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .map_err(|cause| error::Error::Bind { address, cause })?;
    let work = time::Duration::from_micros(target.work_micros);
    let state = sync::Arc::new(state::State::new(&target.name, target.slots, work));
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

/// A connection that ends without a whole answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("no whole answer")]
struct Gone;

async fn handle(
    state: sync::Arc<state::State>,
    request: hyper::Request<hyper::body::Incoming>,
) -> Result<hyper::Response<Body>, Gone> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_error| Gone)?.to_bytes();
    match (head.method.as_str(), head.uri.path()) {
        ("PUT", "/standin/faults") => return Ok(set_faults(&state, &body)),
        ("GET", "/standin/report") => return Ok(json(&state.report())),
        _ => {}
    }
    if state.is_dead() {
        return Err(Gone);
    }
    let faults = state.faults();
    if faults.mode == fault::Mode::Shedding {
        return Ok(shed(&state, &faults));
    }
    state.load.fetch_add(1, atomic::Ordering::Relaxed);
    let running = Running(&state);
    let answer = work(&state, &faults, &head, &body).await;
    drop(running);
    answer
}

/// Counts a request as load until it is dropped.
struct Running<'a>(&'a state::State);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.load.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

async fn work(
    state: &sync::Arc<state::State>,
    faults: &fault::Faults,
    head: &hyper::http::request::Parts,
    body: &Bytes,
) -> Result<hyper::Response<Body>, Gone> {
    let _slot = state.slots.acquire().await.map_err(|_error| Gone)?;
    let path = head.uri.path();
    let key = head
        .headers
        .get(names::IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok());
    let label = format!("{} {path}", head.method);
    state.count_start(key.unwrap_or(&label));
    let span = state.work + time::Duration::from_millis(faults.slow_millis);
    if faults.crash_path.as_deref() == Some(path) {
        crash_after(state, span).await;
        return Err(Gone);
    }
    if !span.is_zero() {
        tokio::time::sleep(span).await;
    }
    if state.is_dead() {
        return Err(Gone);
    }
    Ok(finish(state, faults, head, body))
}

/// Crashes the target after a time, also when the caller has gone away meanwhile.
async fn crash_after(state: &sync::Arc<state::State>, span: time::Duration) {
    let state = sync::Arc::clone(state);
    let crash = tokio::spawn(async move {
        tokio::time::sleep(span).await;
        state.crash();
    });
    let _crashed = crash.await;
}

fn finish(
    state: &state::State,
    faults: &fault::Faults,
    head: &hyper::http::request::Parts,
    body: &Bytes,
) -> hyper::Response<Body> {
    let account = text(head, names::ACCOUNT);
    let request = text(head, names::REQUEST_ID);
    let echo = String::from_utf8_lossy(&body[..body.len().min(BODY_LIMIT)]);
    let names_seen: Vec<&str> = head
        .headers
        .keys()
        .map(header::HeaderName::as_str)
        .collect();
    let said = serde_json::json!({
        "target": state.name,
        "method": head.method.as_str(),
        "path": head.uri.path(),
        "query": head.uri.query(),
        "account": account,
        "request": request,
        "headers": names_seen,
        "body": echo,
    });
    let text = Bytes::from(said.to_string());
    let length = text.len();
    let body = match faults.mode {
        fault::Mode::Cutting => cut(&text),
        fault::Mode::Normal | fault::Mode::Dead | fault::Mode::Shedding => whole(text),
    };
    let mut answer = hyper::Response::new(body);
    mark(&mut answer, state, faults);
    let headers = answer.headers_mut();
    if let Ok(value) = header::HeaderValue::from_str(request) {
        headers.insert(names::REQUEST_ID, value);
    }
    headers.insert(header::CONTENT_LENGTH, header::HeaderValue::from(length));
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    answer
}

fn whole(text: Bytes) -> Body {
    http_body_util::Full::new(text)
        .map_err(|never| match never {})
        .boxed()
}

/// Returns a body that breaks off after the first half of the text.
fn cut(text: &Bytes) -> Body {
    let half = text.slice(..text.len() / 2);
    let parts = [Ok(hyper::body::Frame::data(half)), Err(Gone)];
    http_body_util::StreamBody::new(stream::iter(parts)).boxed()
}

fn text<'a>(head: &'a hyper::http::request::Parts, name: &str) -> &'a str {
    head.headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

fn mark(answer: &mut hyper::Response<Body>, state: &state::State, faults: &fault::Faults) {
    let load = state.load.load(atomic::Ordering::Relaxed);
    let load = faults.reported_load.unwrap_or(load);
    answer
        .headers_mut()
        .insert(names::LOAD, header::HeaderValue::from(load));
    if faults.is_draining {
        answer
            .headers_mut()
            .insert(names::DRAINING, header::HeaderValue::from_static("true"));
    }
}

fn shed(state: &state::State, faults: &fault::Faults) -> hyper::Response<Body> {
    let mut answer = status(503);
    mark(&mut answer, state, faults);
    answer
        .headers_mut()
        .insert(names::NOT_STARTED, header::HeaderValue::from_static("true"));
    answer
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
        Ok(body) => hyper::Response::new(whole(Bytes::from(body))),
        Err(_error) => status(500),
    }
}

fn status(code: u16) -> hyper::Response<Body> {
    let mut answer = hyper::Response::new(whole(Bytes::new()));
    *answer.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    answer
}
