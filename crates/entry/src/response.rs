//! Answers as callers get them.

use bytes::Bytes;
use hyper::header;
use skylark_wire::header as names;
use skylark_wire::problem;

use super::exchange;

/// Body of an answer.
pub type Body = http_body_util::Full<Bytes>;

/// Headers that belong to one connection only.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers by which a target speaks to the entry host, or that only an entry host may set.
const HOST_HEADERS: [&str; 4] = [
    names::LOAD,
    names::DRAINING,
    names::NOT_STARTED,
    names::OUTCOME,
];

/// Returns whether a header belongs to one connection only.
#[must_use]
pub fn is_hop(name: &header::HeaderName) -> bool {
    HOP_HEADERS.contains(&name.as_str())
}

/// Hands a target's whole answer to the caller.
#[must_use]
pub fn whole(id: &str, answer: exchange::Response) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(Body::new(answer.body));
    *response.status_mut() = answer.status;
    for (name, value) in &answer.headers {
        if is_for_callers(name) {
            response.headers_mut().append(name, value.clone());
        }
    }
    set(&mut response, names::REQUEST_ID, id);
    set(&mut response, names::TARGET, answer.target.as_str());
    response
}

fn is_for_callers(name: &header::HeaderName) -> bool {
    let is_between = HOST_HEADERS.contains(&name.as_str());
    !is_hop(name) && !is_between && *name != header::CONTENT_LENGTH
}

/// Tells the caller why there is no answer of a target.
#[must_use]
pub fn refusal(id: &str, refusal: &exchange::Refusal) -> hyper::Response<Body> {
    let problem = problem::Problem::new(refusal.kind, refusal.outcome, id);
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = hyper::Response::new(Body::from(body));
    *response.status_mut() = hyper::StatusCode::from_u16(problem.status).unwrap_or_default();
    set(
        &mut response,
        header::CONTENT_TYPE.as_str(),
        problem::MEDIA_TYPE,
    );
    set(&mut response, names::REQUEST_ID, id);
    set(&mut response, names::OUTCOME, &refusal.outcome.to_string());
    if let Some(after) = refusal.after {
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        set(
            &mut response,
            header::RETRY_AFTER.as_str(),
            &seconds.to_string(),
        );
    }
    response
}

fn set(response: &mut hyper::Response<Body>, name: &str, value: &str) {
    let name = header::HeaderName::from_bytes(name.as_bytes());
    let value = header::HeaderValue::from_str(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        response.headers_mut().insert(name, value);
    }
}
