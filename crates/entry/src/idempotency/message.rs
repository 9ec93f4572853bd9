//! Requests and answers in the form in which hosts exchange and keep them.

use std::time;

use hyper::header;
use skylark_core::idempotency;
use skylark_core::instant;
use skylark_core::name;
use skylark_wire::home;

use crate::exchange;
use crate::forward;

/// Returns the fingerprint of a request.
pub fn fingerprint(
    account: Option<&name::Account>,
    request: &exchange::Request,
) -> idempotency::Fingerprint {
    let path = path(request);
    idempotency::Fingerprint::new(account, request.method.as_str(), path, &request.body)
}

/// Returns the message that passes a request to its home, without its caller's key.
pub fn call(
    request: &exchange::Request,
    key: &idempotency::Key,
    account: Option<&name::Account>,
    now: instant::Instant,
) -> home::Call {
    let fields = request.headers.iter();
    let fields = fields.filter(|(name, _value)| forward::is_forwarded(name));
    home::Call {
        id: request.id.clone(),
        key: key.clone(),
        account: account.cloned(),
        credential: request.credential,
        method: request.method.as_str().to_owned(),
        path: path(request).to_owned(),
        fields: fields.map(field).collect(),
        body: request.body.to_vec(),
        left_micros: u64::try_from(request.remaining(now).as_micros()).unwrap_or(u64::MAX),
    }
}

/// Returns the request that was passed on, if it can be read.
pub fn request(call: &home::Call, now: instant::Instant) -> Option<exchange::Request> {
    Some(exchange::Request {
        id: call.id.clone(),
        method: call.method.parse().ok()?,
        uri: call.path.parse().ok()?,
        headers: headers(&call.fields),
        body: call.body.clone().into(),
        credential: call.credential,
        deadline: now + time::Duration::from_micros(call.left_micros),
    })
}

/// Returns an answer in the form in which the ledger keeps it.
pub fn kept(answer: &exchange::Response) -> idempotency::Response {
    idempotency::Response {
        target: answer.target.clone(),
        status: answer.status.as_u16(),
        fields: answer.headers.iter().map(field).collect(),
        body: answer.body.to_vec(),
    }
}

/// Returns a kept answer in the form in which callers get it.
pub fn told(answer: &idempotency::Response) -> exchange::Response {
    exchange::Response {
        status: hyper::StatusCode::from_u16(answer.status).unwrap_or_default(),
        headers: headers(&answer.fields),
        body: answer.body.clone().into(),
        target: answer.target.clone(),
    }
}

/// Returns a result in the form in which a home tells it.
pub fn reply(result: exchange::Result<exchange::Response>) -> home::Reply {
    match result {
        Ok(answer) => home::Reply::Answer(kept(&answer)),
        Err(refusal) => home::Reply::Refusal {
            kind: refusal.kind,
            outcome: refusal.outcome,
            after_micros: refusal
                .retry_after
                .map(|after| u64::try_from(after.as_micros()).unwrap_or(u64::MAX)),
        },
    }
}

/// Returns what a home told.
pub fn result(reply: &home::Reply) -> exchange::Result<exchange::Response> {
    match reply {
        home::Reply::Answer(answer) => Ok(told(answer)),
        home::Reply::Refusal {
            kind,
            outcome,
            after_micros,
        } => Err(exchange::Refusal {
            kind: *kind,
            outcome: *outcome,
            retry_after: after_micros.map(time::Duration::from_micros),
        }),
    }
}

/// Returns what a ledger or its copy tells, unless it lets the request start.
pub fn outcome(begin: &idempotency::Disposition) -> exchange::Result<exchange::Response> {
    if let idempotency::Disposition::Replay(answer) = begin {
        return Ok(told(answer));
    }
    let (kind, outcome) = begin.refusal().unwrap_or((
        skylark_core::kind::ErrorKind::InProgress,
        skylark_core::kind::Outcome::Unknown,
    ));
    Err(exchange::Refusal::new(kind).with_outcome(outcome))
}

fn path(request: &exchange::Request) -> &str {
    let path = request.uri.path_and_query();
    path.map_or("/", |path| path.as_str())
}

fn field((name, value): (&header::HeaderName, &header::HeaderValue)) -> idempotency::Field {
    idempotency::Field {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    }
}

fn headers(fields: &[idempotency::Field]) -> hyper::HeaderMap {
    let read = |field: &idempotency::Field| {
        let name = header::HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = header::HeaderValue::from_bytes(&field.value).ok()?;
        Some((name, value))
    };
    let mut headers = hyper::HeaderMap::new();
    for (name, value) in fields.iter().filter_map(read) {
        headers.append(name, value);
    }
    headers
}
