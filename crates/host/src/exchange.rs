//! HTTP exchange with a target: one request and its response.

use std::sync;
use std::time;

use bytes::Bytes;
use skylark_core::instant;
use skylark_core::traffic;
use skylark_platform::header;
use skylark_runtime::field;

use super::attempt;
use super::body;
use super::connections;
use super::download;
use super::observer;
use super::state;
use super::upload;

/// Time limit for opening a connection to a target.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(350);
/// Part of the deadline reserved for the response's way back, so that a target's own timeout
/// response arrives before this host gives up.
const RETURN_MARGIN: time::Duration = time::Duration::from_millis(5);
/// Reason for the request log of a request that is not sent on after a suspension.
pub(crate) const SUSPENDED: &str = "host was suspended; catching up";
/// Status of a target that is not the one named in the request.
const STATUS_MISDIRECTED: u16 = 421;

/// Request to a target, without its body.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: hyper::Method,
    pub(crate) path: hyper::Uri,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) id: String,
    pub(crate) is_idempotent: bool,
    pub(crate) deadline: instant::Instant,
}

/// Body of a request.
#[derive(Debug)]
pub(crate) enum Payload {
    /// Buffered, so it can be sent again.
    Whole(Bytes),
    /// Streamed, so it can be sent only once; `None` after that.
    Once(Option<body::Forwarded>),
}

impl Payload {
    fn take(&mut self) -> Option<body::Forwarded> {
        match self {
            Self::Whole(bytes) => Some(body::Forwarded::complete(bytes.clone())),
            Self::Once(body) => body.take(),
        }
    }

    fn put_back(&mut self, unsent: body::Forwarded) {
        if let Self::Once(body) = self {
            *body = Some(unsent);
        }
    }

    /// Counts a streamed body as on its way to the target; `None` ends that if it was not sent.
    fn set_upload(&mut self, upload: impl FnOnce() -> Option<upload::Upload>) {
        if let Self::Once(body) = self {
            let unsent = body.take();
            *body = unsent.map(|body| body.with_observer(upload().map(observer::Observer::Upload)));
        }
    }

    /// Returns whether the body can still be sent.
    pub(crate) const fn is_sendable(&self) -> bool {
        matches!(self, Self::Whole(_) | Self::Once(Some(_)))
    }
}

/// Outcome of one attempt at a target.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) result: traffic::AttemptResult,
    /// Response of the target, where it may be forwarded.
    pub(crate) response: Option<hyper::Response<body::Forwarded>>,
    /// Reason for the request log.
    pub(crate) reason: &'static str,
    /// Why the caller's body could not be passed on whole.
    pub(crate) upload_fault: Option<upload::Fault>,
    /// Whether nothing was sent because what the host knows may be from before a suspension.
    pub(crate) is_withheld: bool,
}

impl Outcome {
    const fn without(result: traffic::AttemptResult, reason: &'static str) -> Self {
        Self {
            result,
            response: None,
            reason,
            upload_fault: None,
            is_withheld: false,
        }
    }

    fn withheld() -> Self {
        Self {
            is_withheld: true,
            ..Self::without(traffic::AttemptResult::Unsent, SUSPENDED)
        }
    }
}

/// Sends a request to a target and reads the response.
pub(crate) async fn run(
    state: &sync::Arc<state::State>,
    attempt: &mut attempt::Attempt,
    request: &Request,
    payload: &mut Payload,
) -> Outcome {
    let fault = upload::FaultCell::default();
    payload.set_upload(|| Some(upload::Upload::new(state, attempt.pick(), &fault)));
    let outcome = send_pooled(state, attempt, request, payload, &fault).await;
    payload.set_upload(|| None);
    outcome
}

/// Sends a request on a pooled connection if there is one, or else on a new one.
async fn send_pooled(
    state: &sync::Arc<state::State>,
    attempt: &mut attempt::Attempt,
    request: &Request,
    payload: &mut Payload,
    fault: &upload::FaultCell,
) -> Outcome {
    loop {
        if state.is_catching_up() {
            return Outcome::withheld();
        }
        let now = state.clock.now();
        // Without an id, a late answer to an earlier request could not be told from the own one.
        let pooled = (!request.id.is_empty()).then(|| {
            let connections = &state.connections;
            connections.take(&attempt.pick().target, request.is_idempotent, now)
        });
        let connection = match pooled.flatten() {
            Some(connection) => connection,
            None => match connect(state, attempt.pick(), request).await {
                // The host may have been suspended while the connection was opened.
                _ if state.is_catching_up() => return Outcome::withheld(),
                Ok(connection) => connection,
                Err(reason) => {
                    return Outcome::without(traffic::AttemptResult::ConnectFailed, reason);
                }
            },
        };
        let is_used = connection.is_used();
        match send(state, attempt, request, payload, fault, connection).await {
            Some(outcome) => return outcome,
            // The target closed the pooled connection before anything was sent on it.
            None if is_used => {}
            None => {
                return Outcome::without(
                    traffic::AttemptResult::ConnectFailed,
                    "new connection closed before the request was sent",
                );
            }
        }
    }
}

async fn connect(
    state: &state::State,
    pick: &traffic::Pick,
    request: &Request,
) -> Result<connections::Connection, &'static str> {
    let began = state.clock.now();
    let remaining = request.deadline.since(began).min(CONNECT_TIMEOUT);
    match tokio::time::timeout(remaining, connections::open(pick.address)).await {
        Ok(Ok(connection)) => {
            let took = state.clock.now().since(began);
            state
                .cluster()
                .dispatcher_mut()
                .record_connect_time(&pick.zone, took);
            Ok(connection)
        }
        Ok(Err(_refused)) => Err("connection refused"),
        Err(_elapsed) => Err("connection timed out"),
    }
}

/// Sends a request on one connection; returns `None` if nothing of it was sent.
async fn send(
    state: &sync::Arc<state::State>,
    attempt: &mut attempt::Attempt,
    request: &Request,
    payload: &mut Payload,
    fault: &upload::FaultCell,
    mut connection: connections::Connection,
) -> Option<Outcome> {
    let now = state.clock.now();
    let remaining = request.deadline.since(now);
    let Some(body) = payload.take() else {
        return Some(Outcome::without(
            traffic::AttemptResult::Cancelled,
            "request body already sent",
        ));
    };
    let outgoing = build_request(
        attempt.pick(),
        request,
        remaining.saturating_sub(RETURN_MARGIN),
        body,
    );
    connection.head_limit.reset();
    attempt.record_send();
    let exchange = connection.sender.try_send_request(outgoing);
    let response = match tokio::time::timeout(remaining, exchange).await {
        Err(_elapsed) => {
            return Some(Outcome::without(
                traffic::AttemptResult::TimedOut,
                "no response in time",
            ));
        }
        Ok(Err(mut error)) => {
            if let Some(unsent) = error.take_message() {
                payload.put_back(unsent.into_body());
                attempt.record_unsent();
                return None;
            }
            return Some(match fault.get() {
                Some(fault) => Outcome {
                    upload_fault: Some(*fault),
                    ..Outcome::without(traffic::AttemptResult::Cancelled, "request body failed")
                },
                None => Outcome::without(traffic::AttemptResult::Disconnected, "connection lost"),
            });
        }
        Ok(Ok(response)) => response,
    };
    connection.head_limit.lift();
    Some(receive(state, attempt.pick(), request, response, connection).await)
}

fn build_request(
    pick: &traffic::Pick,
    request: &Request,
    remaining: time::Duration,
    body: body::Forwarded,
) -> hyper::Request<body::Forwarded> {
    let mut outgoing = hyper::Request::new(body);
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.path.clone();
    *outgoing.headers_mut() = request.headers.clone();
    let headers = outgoing.headers_mut();
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(header::DEADLINE, millis.into());
    if let Ok(target) = hyper::header::HeaderValue::from_str(pick.target.as_str()) {
        headers.insert(header::EXPECTED_TARGET, target);
    }
    outgoing
}

async fn receive(
    state: &sync::Arc<state::State>,
    pick: &traffic::Pick,
    request: &Request,
    response: hyper::Response<hyper::body::Incoming>,
    connection: connections::Connection,
) -> Outcome {
    let (mut parts, incoming) = response.into_parts();
    // A late answer to an earlier request may arrive on a connection that was used before.
    let is_own = match parts.headers.get(header::REQUEST_ID) {
        Some(id) => id == request.id.as_str(),
        None => !connection.is_used(),
    };
    if !is_own {
        return Outcome::without(
            traffic::AttemptResult::Disconnected,
            "response to another request",
        );
    }
    if parts.status.as_u16() != STATUS_MISDIRECTED {
        record_limit(state, pick, request, &parts.headers);
        record_leave(state, pick, request, &parts);
    }
    let load = header::load(&parts.headers);
    let timeout = keep_alive_timeout(&parts.headers);
    // What follows on a connection whose answers name no id could not be told apart.
    let is_closing = lacks_request_id(&parts.headers)
        || parts
            .headers
            .get(hyper::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    let status = parts.status.as_u16();
    let has_not_run = parts.headers.contains_key(header::NOT_EXECUTED);
    let remaining = request.deadline.since(state.clock.now());
    let mut reservation = state.memory.reserve();
    let prefix = match tokio::time::timeout(remaining, body::read(incoming, &mut reservation)).await
    {
        Err(_elapsed) => {
            return Outcome::without(
                traffic::AttemptResult::TimedOut,
                "response incomplete at the deadline",
            );
        }
        Ok(Err(_fault)) => {
            return Outcome::without(traffic::AttemptResult::Disconnected, "response cut off");
        }
        Ok(Ok(prefix)) => prefix,
    };
    if status == STATUS_MISDIRECTED {
        return Outcome::without(
            traffic::AttemptResult::Misdirected,
            "another target answered",
        );
    }
    if has_not_run {
        return_to_pool(state, pick, connection, timeout, is_closing);
        return Outcome::without(
            traffic::AttemptResult::NotRun(load),
            "target did not run the request",
        );
    }
    if parts.status.is_success()
        && (lacks_request_id(&parts.headers) || !parts.headers.contains_key(header::RESPONSE_STAMP))
    {
        return Outcome::without(
            traffic::AttemptResult::Disconnected,
            "success without a response stamp",
        );
    }
    let result = if parts.status.is_server_error() {
        traffic::AttemptResult::Failed(load)
    } else {
        traffic::AttemptResult::Answered(load)
    };
    remove_hop_headers(&mut parts.headers);
    let body = match prefix {
        body::Prefix::Complete(bytes) => {
            return_to_pool(state, pick, connection, timeout, is_closing);
            body::Forwarded::complete(bytes).with_reservation(reservation)
        }
        body::Prefix::Partial(head, tail) | body::Prefix::NoMemory(head, tail) => {
            delay_close(connection, request.deadline.since(state.clock.now()));
            let download = download::Download::new(state, pick, &request.id);
            body::Forwarded::streaming(head, tail, u64::MAX)
                .with_reservation(reservation)
                .with_observer(Some(observer::Observer::Download(download)))
        }
    };
    Outcome {
        result,
        response: Some(hyper::Response::from_parts(parts, body)),
        reason: "answered",
        upload_fault: None,
        is_withheld: false,
    }
}

/// Records the limit that a target names in an answer, or that it names none any more.
fn record_limit(
    state: &state::State,
    pick: &traffic::Pick,
    request: &Request,
    headers: &hyper::HeaderMap,
) {
    let rate = match header::rate_limit(headers) {
        // A refusal without a stamp may come from a part of the target that knows no limit.
        Ok(None) if !headers.contains_key(header::RESPONSE_STAMP) => return,
        Ok(rate) => rate,
        Err(error) => {
            if state.metrics.record_malformed_limit() {
                log::warn!(request = request.id.as_str(), target_id:% = pick.target, error:% = error; "limit of a target not understood; ignoring it");
            }
            return;
        }
    };
    let now = state.clock.now();
    let mut cluster = state.cluster();
    if cluster
        .dispatcher_mut()
        .limits_mut()
        .observe(&pick.target, rate, now)
    {
        log::info!(request = request.id.as_str(), target_id:% = pick.target, rate:? = rate; "limit of a target changed");
    }
}

/// Records that a target leaves, or wants nothing from this host for a time.
fn record_leave(
    state: &state::State,
    pick: &traffic::Pick,
    request: &Request,
    parts: &hyper::http::response::Parts,
) {
    let (id, target) = (request.id.as_str(), &pick.target);
    let now = state.clock.now();
    let mut cluster = state.cluster();
    let limits = cluster.dispatcher_mut().limits_mut();
    if header::is_leaving(&parts.headers) && limits.record_leaving(target) {
        log::info!(request = id, target_id:% = target; "target says that it leaves; sending it nothing more");
    }
    if parts.status != hyper::StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    match header::retry_after(&parts.headers) {
        Ok(None) => {}
        Ok(Some(pause)) => {
            limits.record_pause(target, pause, now);
            log::info!(request = id, target_id:% = target, pause:% = field::Millis(pause); "target wants nothing for a time");
        }
        Err(error) => {
            log::debug!(request = id, target_id:% = target, error:% = error; "pause of a target not understood; ignoring it");
        }
    }
}

fn lacks_request_id(headers: &hyper::HeaderMap) -> bool {
    !headers.contains_key(header::REQUEST_ID)
}

fn return_to_pool(
    state: &state::State,
    pick: &traffic::Pick,
    connection: connections::Connection,
    timeout: Option<time::Duration>,
    is_closing: bool,
) {
    if !is_closing {
        let now = state.clock.now();
        state
            .connections
            .put(&pick.target, connection, timeout, now);
    }
}

/// Keeps a connection open for `limit` while the rest of a long response is streamed.
fn delay_close(connection: connections::Connection, limit: time::Duration) {
    tokio::spawn(async move {
        tokio::time::sleep(limit).await;
        drop(connection);
    });
}

/// Returns the target's idle timeout from the `Keep-Alive` header.
fn keep_alive_timeout(headers: &hyper::HeaderMap) -> Option<time::Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parts = text
        .split(',')
        .filter_map(|part| part.trim().split_once('='));
    let mut times = parts.filter(|(name, _value)| name.eq_ignore_ascii_case("timeout"));
    let seconds = times.next()?.1.trim().parse().ok()?;
    Some(time::Duration::from_secs(seconds))
}

/// Removes hop-by-hop headers and the headers that are meant for entry hosts only.
pub(crate) fn remove_hop_headers(headers: &mut hyper::HeaderMap) {
    let named: Vec<hyper::header::HeaderName> = headers
        .get_all(hyper::header::CONNECTION)
        .into_iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let removed = [
        hyper::header::CONNECTION,
        hyper::header::CONTENT_LENGTH,
        hyper::header::PROXY_AUTHENTICATE,
        hyper::header::PROXY_AUTHORIZATION,
        hyper::header::TE,
        hyper::header::TRAILER,
        hyper::header::TRANSFER_ENCODING,
        hyper::header::UPGRADE,
        hyper::header::HeaderName::from_static("keep-alive"),
        header::LOAD,
        header::RATE_LIMIT,
        header::LEAVING,
        header::TARGET_ID,
    ];
    for name in removed {
        headers.remove(name);
    }
}
