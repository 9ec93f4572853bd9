//! HTTP responses to callers: a target's response, or problem details (RFC 9457) of a refusal.

use bytes::Bytes;
use hyper::header;
use skylark_wire::header as names;
use skylark_wire::problem;

use super::exchange;

/// Body of a response to a caller, kept in memory as a whole.
pub type Body = http_body_util::Full<Bytes>;

/// Hop-by-hop headers, which an intermediary must not forward.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that a target sends to the entry host only, or that only an entry host may set.
const RESERVED_HEADERS: [&str; 4] = [
    names::LOAD,
    names::DRAINING,
    names::NOT_STARTED,
    names::OUTCOME,
];

/// Returns whether a header is hop-by-hop and must not be forwarded.
#[must_use]
pub fn is_hop_by_hop(name: &header::HeaderName) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name.as_str())
}

/// Returns a target's response as the caller receives it.
///
/// Hop-by-hop and reserved headers are dropped; the request id and the target's name are added.
#[must_use]
pub fn from_target(id: &str, received: exchange::Response) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(Body::new(received.body));
    *response.status_mut() = received.status;
    for (name, value) in &received.headers {
        if is_for_caller(name) {
            response.headers_mut().append(name, value.clone());
        }
    }
    set_header(&mut response, names::REQUEST_ID, id);
    set_header(&mut response, names::TARGET, received.target.as_str());
    response
}

fn is_for_caller(name: &header::HeaderName) -> bool {
    let is_reserved = RESERVED_HEADERS.contains(&name.as_str());
    !is_hop_by_hop(name) && !is_reserved && *name != header::CONTENT_LENGTH
}

/// Returns the problem details that tell the caller why its request was refused.
///
/// `Retry-After` is rounded up to whole seconds, so that no caller retries too early.
#[must_use]
pub fn from_refusal(id: &str, refusal: &exchange::Refusal) -> hyper::Response<Body> {
    let problem = problem::Problem::new(refusal.kind, refusal.outcome, id);
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = hyper::Response::new(Body::from(body));
    *response.status_mut() = hyper::StatusCode::from_u16(problem.status).unwrap_or_default();
    set_header(
        &mut response,
        header::CONTENT_TYPE.as_str(),
        problem::MEDIA_TYPE,
    );
    set_header(&mut response, names::REQUEST_ID, id);
    set_header(&mut response, names::OUTCOME, &refusal.outcome.to_string());
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.as_secs() + u64::from(delay.subsec_nanos() > 0);
        set_header(
            &mut response,
            header::RETRY_AFTER.as_str(),
            &seconds.to_string(),
        );
    }
    response
}

fn set_header(response: &mut hyper::Response<Body>, name: &str, value: &str) {
    let name = header::HeaderName::from_bytes(name.as_bytes());
    let value = header::HeaderValue::from_str(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        response.headers_mut().insert(name, value);
    }
}
