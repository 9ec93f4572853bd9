//! Tells callers which entry hosts to use.

use std::sync;

use skylark_core::traffic;
use skylark_platform::directory;

use super::error;
use super::serve;
use super::state;

/// Answers look-ups until the task is dropped.
pub(crate) async fn serve(
    listener: sync::Arc<tokio::net::TcpListener>,
    state: sync::Arc<state::State>,
) -> error::Result<()> {
    serve::answer(listener, "lookups", move |request| {
        let state = sync::Arc::clone(&state);
        async move { look_up(&state, request.uri()) }
    })
    .await
}

fn look_up(state: &state::State, uri: &hyper::Uri) -> serve::Reply {
    if uri.path() != directory::PATH {
        return serve::reply(hyper::StatusCode::NOT_FOUND, "text/plain", Vec::new());
    }
    let caller = directory::read_query(uri.query().unwrap_or_default());
    let now = state.clock.now();
    let own = state.member();
    let known = state.knowledge();
    let desk = known.dispatcher();
    let hosts = desk.fleet().live(now).chain(std::iter::once(&own));
    let zone = caller.zone.as_ref();
    let region = zone.and_then(|zone| desk.topology().region(zone));
    let region = region.or(caller.region.as_ref());
    let addresses = traffic::choose_hosts(hosts, desk.topology(), zone, region);
    if addresses.is_empty() {
        log::warn!(zone:? = zone; "look-up without any host that is ready");
        let status = hyper::StatusCode::SERVICE_UNAVAILABLE;
        return serve::reply(status, "text/plain", Vec::new());
    }
    match directory::write_answer(&addresses, state.lookup_ttl()) {
        Ok(body) => serve::reply(hyper::StatusCode::OK, "application/json", body),
        Err(fault) => {
            log::error!(error:% = fault; "look-up could not be answered");
            let status = hyper::StatusCode::INTERNAL_SERVER_ERROR;
            serve::reply(status, "text/plain", Vec::new())
        }
    }
}
