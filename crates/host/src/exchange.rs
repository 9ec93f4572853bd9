//! One exchange with a target.

use std::sync;
use std::time;

use bytes::Bytes;
use skylark_core::instant;
use skylark_core::traffic;
use skylark_platform::header;

use super::body;
use super::connections;
use super::state;

/// Time that a connection to a target may take to open.
const CONNECT_TIME: time::Duration = time::Duration::from_millis(350);
/// Part of the remaining time that is kept for the way back, so that the target's own answer counts.
const BACK_MARGIN: time::Duration = time::Duration::from_millis(5);
const STATUS_MISDIRECTED: u16 = 421;

/// What is sent to a target.
#[derive(Debug)]
pub(crate) struct Message {
    pub(crate) method: hyper::Method,
    pub(crate) path: hyper::Uri,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) id: String,
    pub(crate) is_idempotent: bool,
    pub(crate) until: instant::Instant,
}

/// The body of a message.
#[derive(Debug)]
pub(crate) enum Content {
    /// It can be sent again.
    Whole(Bytes),
    /// It can be sent once; taken when it is sent.
    Once(Option<body::Passing>),
}

impl Content {
    fn take(&mut self) -> Option<body::Passing> {
        match self {
            Self::Whole(bytes) => Some(body::Passing::whole(bytes.clone())),
            Self::Once(body) => body.take(),
        }
    }

    fn put_back(&mut self, passing: body::Passing) {
        if let Self::Once(body) = self {
            *body = Some(passing);
        }
    }

    /// Returns whether the message can be sent now.
    pub(crate) const fn is_there(&self) -> bool {
        matches!(self, Self::Whole(_) | Self::Once(Some(_)))
    }
}

/// What came of an exchange.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) ending: traffic::AttemptResult,
    /// The target's answer, where it may be passed on.
    pub(crate) answer: Option<hyper::Response<body::Passing>>,
    /// Why there is none.
    pub(crate) reason: &'static str,
}

impl Outcome {
    const fn without(ending: traffic::AttemptResult, reason: &'static str) -> Self {
        Self {
            ending,
            answer: None,
            reason,
        }
    }
}

/// Sends a message to a target and reads the answer.
pub(crate) async fn run(
    state: &sync::Arc<state::State>,
    pick: &traffic::Pick,
    message: &Message,
    content: &mut Content,
) -> Outcome {
    loop {
        let now = state.clock.now();
        let kept = state
            .connections
            .take(&pick.target, message.is_idempotent, now);
        let connection = match kept {
            Some(connection) => connection,
            None => match connect(state, pick, message).await {
                Ok(connection) => connection,
                Err(reason) => {
                    return Outcome::without(traffic::AttemptResult::ConnectFailed, reason);
                }
            },
        };
        let is_used = connection.is_used();
        match send(state, pick, message, content, connection).await {
            Some(outcome) => return outcome,
            // The connection was closed before anything was sent on it.
            None if is_used => {}
            None => {
                return Outcome::without(
                    traffic::AttemptResult::ConnectFailed,
                    "connection closed at once",
                );
            }
        }
    }
}

async fn connect(
    state: &state::State,
    pick: &traffic::Pick,
    message: &Message,
) -> Result<connections::Connection, &'static str> {
    let began = state.clock.now();
    let left = message.until.since(began).min(CONNECT_TIME);
    match tokio::time::timeout(left, connections::open(pick.address)).await {
        Ok(Ok(connection)) => {
            let took = state.clock.now().since(began);
            state
                .knowledge()
                .dispatcher_mut()
                .record_connect_time(&pick.zone, took);
            Ok(connection)
        }
        Ok(Err(_refused)) => Err("connection refused"),
        Err(_elapsed) => Err("no connection in time"),
    }
}

/// Sends on one connection; none where nothing was sent.
async fn send(
    state: &state::State,
    pick: &traffic::Pick,
    message: &Message,
    content: &mut Content,
    mut connection: connections::Connection,
) -> Option<Outcome> {
    let now = state.clock.now();
    let left = message.until.since(now);
    let Some(passing) = content.take() else {
        return Some(Outcome::without(
            traffic::AttemptResult::Cancelled,
            "the body was sent before",
        ));
    };
    let request = form(pick, message, left.saturating_sub(BACK_MARGIN), passing);
    let exchange = connection.sender.try_send_request(request);
    let answer = match tokio::time::timeout(left, exchange).await {
        Err(_elapsed) => {
            return Some(Outcome::without(
                traffic::AttemptResult::TimedOut,
                "no answer in time",
            ));
        }
        Ok(Err(mut fault)) => {
            if let Some(unsent) = fault.take_message() {
                content.put_back(unsent.into_body());
                return None;
            }
            return Some(Outcome::without(
                traffic::AttemptResult::Disconnected,
                "connection broke",
            ));
        }
        Ok(Ok(answer)) => answer,
    };
    Some(receive(state, pick, message, answer, connection).await)
}

fn form(
    pick: &traffic::Pick,
    message: &Message,
    left: time::Duration,
    passing: body::Passing,
) -> hyper::Request<body::Passing> {
    let mut request = hyper::Request::new(passing);
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.path.clone();
    *request.headers_mut() = message.headers.clone();
    let headers = request.headers_mut();
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(header::DEADLINE, millis.into());
    if let Ok(target) = hyper::header::HeaderValue::from_str(pick.target.as_str()) {
        headers.insert(header::EXPECTED_TARGET, target);
    }
    request
}

async fn receive(
    state: &state::State,
    pick: &traffic::Pick,
    message: &Message,
    answer: hyper::Response<hyper::body::Incoming>,
    connection: connections::Connection,
) -> Outcome {
    let (mut parts, incoming) = answer.into_parts();
    let echoed = parts.headers.get(header::REQUEST_ID);
    if echoed.is_some_and(|echoed| echoed != message.id.as_str()) {
        return Outcome::without(
            traffic::AttemptResult::Disconnected,
            "answer to another request",
        );
    }
    let load = header::load(&parts.headers);
    let keep = kept_time(&parts.headers);
    let is_closing = parts
        .headers
        .get(hyper::header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    let status = parts.status.as_u16();
    let is_not_run = parts.headers.contains_key(header::NOT_RUN);
    let left = message.until.since(state.clock.now());
    let mut hold = state.memory.hold();
    let read = match tokio::time::timeout(left, body::read(incoming, &mut hold)).await {
        Err(_elapsed) => {
            return Outcome::without(traffic::AttemptResult::TimedOut, "answer not whole in time");
        }
        Ok(Err(_fault)) => {
            return Outcome::without(traffic::AttemptResult::Disconnected, "answer broke off");
        }
        Ok(Ok(read)) => read,
    };
    if status == STATUS_MISDIRECTED {
        return Outcome::without(
            traffic::AttemptResult::Misdirected,
            "another target answered",
        );
    }
    if is_not_run {
        keep_open(state, pick, connection, keep, is_closing);
        return Outcome::without(
            traffic::AttemptResult::NotRun(load),
            "target did not run it",
        );
    }
    if parts.status.is_success()
        && (echoed_missing(&parts.headers) || !parts.headers.contains_key(header::STAMP))
    {
        return Outcome::without(
            traffic::AttemptResult::Disconnected,
            "success without the target's mark",
        );
    }
    let ending = if parts.status.is_server_error() {
        traffic::AttemptResult::Failed(load)
    } else {
        traffic::AttemptResult::Answered(load)
    };
    strip(&mut parts.headers);
    let passing = match read {
        body::Read::Whole(bytes) => {
            keep_open(state, pick, connection, keep, is_closing);
            body::Passing::whole(bytes).with_hold(hold)
        }
        body::Read::Part(head, rest) | body::Read::Crowded(head, rest) => {
            hold_open(connection, message.until.since(state.clock.now()));
            body::Passing::streaming(head, rest, u64::MAX).with_hold(hold)
        }
    };
    Outcome {
        ending,
        answer: Some(hyper::Response::from_parts(parts, passing)),
        reason: "answered",
    }
}

fn echoed_missing(headers: &hyper::HeaderMap) -> bool {
    !headers.contains_key(header::REQUEST_ID)
}

fn keep_open(
    state: &state::State,
    pick: &traffic::Pick,
    connection: connections::Connection,
    keep: Option<time::Duration>,
    is_closing: bool,
) {
    if !is_closing {
        let now = state.clock.now();
        state.connections.put(&pick.target, connection, keep, now);
    }
}

/// Keeps a connection open while the rest of a long answer comes.
fn hold_open(connection: connections::Connection, limit: time::Duration) {
    tokio::spawn(async move {
        tokio::time::sleep(limit).await;
        drop(connection);
    });
}

/// Returns the time for which the target keeps an idle connection.
fn kept_time(headers: &hyper::HeaderMap) -> Option<time::Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parts = text
        .split(',')
        .filter_map(|part| part.trim().split_once('='));
    let mut times = parts.filter(|(name, _value)| name.eq_ignore_ascii_case("timeout"));
    let seconds = times.next()?.1.trim().parse().ok()?;
    Some(time::Duration::from_secs(seconds))
}

/// Removes the headers that concern one connection or only entry hosts.
pub(crate) fn strip(headers: &mut hyper::HeaderMap) {
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
    let of_connection = [
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
        header::TARGET,
    ];
    for name in of_connection {
        headers.remove(name);
    }
}
