//! One request, and its answer as text.

use std::io;
use std::io::Write as _;

use skylark_wire::header;

use super::caller;
use super::error;
use super::options;

const SHOWN_HEADERS: [&str; 4] = [
    header::REQUEST_ID,
    header::TARGET,
    header::OUTCOME,
    "retry-after",
];

/// Sends one request and prints its answer.
///
/// # Errors
///
/// Fails when no whole answer arrives.
pub async fn run(call: &options::Call) -> error::Result<()> {
    let caller = caller::Caller::new(&call.destination).await?;
    let request = caller::Request {
        method: &call.method,
        path: &call.path,
        key: call.key.as_deref(),
        idempotency: call.idempotency.as_deref(),
        attempt: call.attempt,
        body: &call.body,
    };
    let reply = caller.send(&request).await?;
    let mut out = io::stdout().lock();
    writeln!(out, "status: {}", reply.status)?;
    if let Some(text) = &call.idempotency {
        writeln!(out, "{}: {}", header::IDEMPOTENCY_KEY, caller.expand(text))?;
    }
    for name in SHOWN_HEADERS {
        if let Some(value) = reply
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
        {
            writeln!(out, "{name}: {value}")?;
        }
    }
    writeln!(out, "{}", String::from_utf8_lossy(&reply.body))?;
    Ok(())
}
