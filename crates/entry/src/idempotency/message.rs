//! Conversion of requests and responses to and from the messages and ledger entries of hosts.

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

/// Returns the message that forwards a request to its home, without the caller's API key.
pub fn to_message(
    request: &exchange::Request,
    key: &idempotency::Key,
    account: Option<&name::Account>,
    now: instant::Instant,
) -> home::Request {
    let fields = request.headers.iter();
    let fields = fields.filter(|(name, _value)| forward::is_forwarded(name));
    home::Request {
        id: request.id.clone(),
        key: key.clone(),
        account: account.cloned(),
        credential: request.credential,
        method: request.method.as_str().to_owned(),
        path: path(request).to_owned(),
        fields: fields.map(field).collect(),
        body: request.body.to_vec(),
        remaining_micros: u64::try_from(request.remaining(now).as_micros()).unwrap_or(u64::MAX),
    }
}

/// Returns the request in a message; none if its method or path is invalid.
pub fn from_message(call: &home::Request, now: instant::Instant) -> Option<exchange::Request> {
    Some(exchange::Request {
        id: call.id.clone(),
        method: call.method.parse().ok()?,
        uri: call.path.parse().ok()?,
        headers: headers(&call.fields),
        body: call.body.clone().into(),
        credential: call.credential,
        deadline: now + time::Duration::from_micros(call.remaining_micros),
    })
}

/// Returns a response in the form in which the ledger stores it.
pub fn to_stored(response: &exchange::Response) -> idempotency::Response {
    idempotency::Response {
        target: response.target.clone(),
        status: response.status.as_u16(),
        fields: response.headers.iter().map(field).collect(),
        body: response.body.to_vec(),
    }
}

/// Returns a stored response in the form of the pipeline.
pub fn from_stored(stored: &idempotency::Response) -> exchange::Response {
    exchange::Response {
        status: hyper::StatusCode::from_u16(stored.status).unwrap_or_default(),
        headers: headers(&stored.fields),
        body: stored.body.clone().into(),
        target: stored.target.clone(),
    }
}

/// Returns a result as the reply of a home.
pub fn to_reply(result: exchange::Result<exchange::Response>) -> home::Reply {
    match result {
        Ok(response) => home::Reply::Answer(to_stored(&response)),
        Err(refusal) => home::Reply::Refusal {
            kind: refusal.kind,
            outcome: refusal.outcome,
            retry_after_micros: refusal
                .retry_after
                .map(|delay| u64::try_from(delay.as_micros()).unwrap_or(u64::MAX)),
        },
    }
}

/// Returns the result in the reply of a home.
pub fn from_reply(reply: &home::Reply) -> exchange::Result<exchange::Response> {
    match reply {
        home::Reply::Answer(stored) => Ok(from_stored(stored)),
        home::Reply::Refusal {
            kind,
            outcome,
            retry_after_micros,
        } => Err(exchange::Refusal {
            kind: *kind,
            outcome: *outcome,
            retry_after: retry_after_micros.map(time::Duration::from_micros),
        }),
    }
}

/// Returns the result for the caller that a disposition other than a start implies.
///
/// A start has none, and would be reported as in progress with an unknown outcome.
pub fn from_disposition(
    disposition: &idempotency::Disposition,
) -> exchange::Result<exchange::Response> {
    if let idempotency::Disposition::Replay(stored) = disposition {
        return Ok(from_stored(stored));
    }
    let (kind, outcome) = disposition.refusal().unwrap_or((
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
    let parse = |field: &idempotency::Field| {
        let name = header::HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = header::HeaderValue::from_bytes(&field.value).ok()?;
        Some((name, value))
    };
    let mut headers = hyper::HeaderMap::new();
    for (name, value) in fields.iter().filter_map(parse) {
        headers.append(name, value);
    }
    headers
}
