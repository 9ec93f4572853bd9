//! Single request whose response is printed as text.

use std::io;
use std::io::Write as _;

use skylark_wire::header;

use super::caller;
use super::error;
use super::options;

/// Response headers that are printed.
const PRINTED_HEADERS: [&str; 4] = [
    header::REQUEST_ID,
    header::TARGET,
    header::OUTCOME,
    "retry-after",
];

/// Sends one request and prints the status, the main headers and the body of its response.
///
/// # Errors
///
/// Fails when no entry host is found or no complete response arrives.
pub async fn run(call: &options::Call) -> error::Result<()> {
    let caller = caller::Caller::new(&call.destination).await?;
    let request = caller::Request {
        method: &call.method,
        path: &call.path,
        key: call.key.as_deref(),
        idempotency_key: call.idempotency_key.as_deref(),
        attempt: call.attempt,
        body: &call.body,
    };
    let response = caller.send(&request).await?;
    let mut out = io::stdout().lock();
    writeln!(out, "status: {}", response.status)?;
    if let Some(text) = &call.idempotency_key {
        writeln!(
            out,
            "{}: {}",
            header::IDEMPOTENCY_KEY,
            caller.expand_key(text)
        )?;
    }
    for name in PRINTED_HEADERS {
        if let Some(value) = response
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
        {
            writeln!(out, "{name}: {value}")?;
        }
    }
    writeln!(out, "{}", String::from_utf8_lossy(&response.body))?;
    Ok(())
}
