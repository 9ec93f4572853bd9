//! Readiness check, by which the platform decides whether callers are sent here.

use std::sync;

use skylark_core::traffic;
use skylark_platform::header;

use super::error;
use super::listeners;
use super::state;

/// Serves the readiness check until the task is dropped.
pub(crate) async fn serve(
    listener: sync::Arc<tokio::net::TcpListener>,
    state: sync::Arc<state::State>,
) -> error::Result<()> {
    listeners::serve(listener, "readiness", move |request| {
        let state = sync::Arc::clone(&state);
        async move {
            let status = match (request.uri().path(), state.phase()) {
                (header::READINESS_PATH, traffic::Phase::Ready) => hyper::StatusCode::OK,
                (header::READINESS_PATH, _) => hyper::StatusCode::SERVICE_UNAVAILABLE,
                _ => hyper::StatusCode::NOT_FOUND,
            };
            listeners::response(status, "text/plain", Vec::new())
        }
    })
    .await
}
