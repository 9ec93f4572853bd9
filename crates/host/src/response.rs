//! Error responses that the host creates itself.

use std::time;

use bytes::Bytes;
use skylark_core::kind;
use skylark_platform::header;
use skylark_wire::problem;

use super::body;

/// A response to a caller.
pub(crate) type Response = hyper::Response<body::Forwarded>;

/// Creates the response to an error kind; `retry_after` becomes the `Retry-After` header.
pub(crate) fn error(
    kind: kind::ErrorKind,
    outcome: kind::Outcome,
    retry_after: Option<time::Duration>,
    request: &str,
) -> Response {
    let problem = problem::Problem::new(kind, outcome, request);
    let status = match kind {
        // Callers on the platform take this kind's usual 422, like other 4xx, as a
        // rejection by the configuration.
        kind::ErrorKind::Quarantined => Ok(hyper::StatusCode::SERVICE_UNAVAILABLE),
        _ => hyper::StatusCode::from_u16(problem.status),
    };
    let bytes = serde_json::to_vec(&problem).unwrap_or_else(|error| {
        log::error!(request, error:% = error; "problem details could not be serialized; sending an empty body");
        Vec::new()
    });
    let mut response = hyper::Response::new(body::Forwarded::complete(Bytes::from(bytes)));
    *response.status_mut() = status.unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    let media = hyper::header::HeaderValue::from_static(problem::MEDIA_TYPE);
    headers.insert(hyper::header::CONTENT_TYPE, media);
    if let Ok(id) = hyper::header::HeaderValue::from_str(request) {
        headers.insert(header::REQUEST_ID, id);
    }
    if let Some(retry_after) = retry_after {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(seconds) = hyper::header::HeaderValue::from_str(&seconds) {
            headers.insert(hyper::header::RETRY_AFTER, seconds);
        }
    }
    response
}
