//! Look-up server, which tells callers which entry hosts to use.

use std::sync;

use skylark_core::traffic;
use skylark_platform::lookup;
use skylark_runtime::field;

use super::error;
use super::listeners;
use super::state;

/// Serves look-ups until the task is dropped.
pub(crate) async fn serve(
    listener: sync::Arc<tokio::net::TcpListener>,
    state: sync::Arc<state::State>,
) -> error::Result<()> {
    listeners::serve(listener, "lookups", move |request| {
        let state = sync::Arc::clone(&state);
        async move { look_up(&state, request.uri()) }
    })
    .await
}

fn look_up(state: &state::State, uri: &hyper::Uri) -> listeners::Response {
    if uri.path() != lookup::PATH {
        return listeners::response(hyper::StatusCode::NOT_FOUND, "text/plain", Vec::new());
    }
    let caller = lookup::parse_query(uri.query().unwrap_or_default());
    let now = state.clock.now();
    let own = state.member();
    let cluster = state.cluster();
    let dispatcher = cluster.dispatcher();
    let hosts = dispatcher.fleet().live(now).chain(std::iter::once(&own));
    let zone = caller.zone.as_ref();
    let region = zone.and_then(|zone| dispatcher.topology().region(zone));
    let region = region.or(caller.region.as_ref());
    let addresses = traffic::choose_hosts(hosts, dispatcher.topology(), zone, region);
    if addresses.is_empty() {
        log::warn!(zone:% = field::Optional(zone); "no host is ready; look-up answered with 503");
        let status = hyper::StatusCode::SERVICE_UNAVAILABLE;
        return listeners::response(status, "text/plain", Vec::new());
    }
    match lookup::serialize_answer(&addresses, state.lookup_ttl()) {
        Ok(body) => listeners::response(hyper::StatusCode::OK, "application/json", body),
        Err(error) => {
            log::error!(error:% = error; "look-up response could not be serialized; answered with 500");
            let status = hyper::StatusCode::INTERNAL_SERVER_ERROR;
            listeners::response(status, "text/plain", Vec::new())
        }
    }
}
