//! Answers of this host's own.

use std::time;

use bytes::Bytes;
use skylark_core::kind;
use skylark_platform::header;
use skylark_wire::problem;

use super::body;

/// An answer to a caller.
pub(crate) type Answer = hyper::Response<body::Passing>;

/// Creates the answer to an error kind; `pause` tells the caller when to come back.
pub(crate) fn refuse(
    kind: kind::ErrorKind,
    outcome: kind::Outcome,
    pause: Option<time::Duration>,
    request: &str,
) -> Answer {
    let problem = problem::Problem::new(kind, outcome, request);
    let status = match kind {
        // Callers on the platform take other 4xx as a refusal by the rules in force.
        kind::ErrorKind::Quarantined => Ok(hyper::StatusCode::SERVICE_UNAVAILABLE),
        _ => hyper::StatusCode::from_u16(problem.status),
    };
    let bytes = serde_json::to_vec(&problem).unwrap_or_else(|fault| {
        log::error!(request, error:% = fault; "problem details could not be written");
        Vec::new()
    });
    let mut answer = hyper::Response::new(body::Passing::whole(Bytes::from(bytes)));
    *answer.status_mut() = status.unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let headers = answer.headers_mut();
    let media = hyper::header::HeaderValue::from_static(problem::MEDIA_TYPE);
    headers.insert(hyper::header::CONTENT_TYPE, media);
    if let Ok(id) = hyper::header::HeaderValue::from_str(request) {
        headers.insert(header::REQUEST_ID, id);
    }
    if let Some(pause) = pause {
        let seconds = format!("{:.3}", pause.as_secs_f64());
        if let Ok(seconds) = hyper::header::HeaderValue::from_str(&seconds) {
            headers.insert(hyper::header::RETRY_AFTER, seconds);
        }
    }
    answer
}
