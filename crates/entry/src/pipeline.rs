//! The steps from a caller's request to its answer.

use std::sync;
use std::time;

use cadence::CountedExt as _;
use cadence::Timed as _;
use http_body_util::BodyExt as _;
use skylark_core::catalog;
use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::once as rules;
use skylark_core::quarantine as wards;
use skylark_core::record;
use skylark_wire::header;

use super::answer;
use super::exchange;
use super::forward;
use super::identity;
use super::journal;
use super::once;
use super::quarantine;
use super::state;
use super::view;

const BODY_LIMIT_BYTES: usize = 1024 * 1024;
const NEWS_PAUSE: time::Duration = time::Duration::from_millis(10);
const TARGETS_PER_REQUEST: usize = 3;

/// Answers one request of a caller.
pub async fn handle(
    state: &sync::Arc<state::State>,
    incoming: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<answer::Body> {
    let id = state.next_request();
    let arrived = state.clock.now();
    let view = state.view();
    let result = serve(state, &view, &id, arrived, incoming).await;
    journal::note(state, &id, arrived, &result);
    measure(state, arrived, &result);
    match result {
        Ok(whole) => answer::whole(&id, whole),
        Err(refusal) => answer::refusal(&id, &refusal),
    }
}

fn measure(
    state: &state::State,
    arrived: instant::Instant,
    result: &exchange::Result<exchange::Answer>,
) {
    let _sent = state
        .metrics
        .time("request", state.clock.now().since(arrived));
    let counted = match result {
        Ok(_answer) => state.metrics.incr("answered"),
        Err(refusal) => state.metrics.incr(&format!("refused.{}", refusal.kind)),
    };
    if let Err(error) = counted {
        log::debug!(error:% = error; "metric not sent");
    }
}

async fn serve(
    state: &sync::Arc<state::State>,
    view: &view::View,
    id: &str,
    arrived: instant::Instant,
    incoming: hyper::Request<hyper::body::Incoming>,
) -> exchange::Result<exchange::Answer> {
    let (head, body) = incoming.into_parts();
    let is_keyed = head.headers.contains_key(header::IDEMPOTENCY_KEY);
    let attempt = once::attempt(&head.headers);
    let prepared = prepare(state, view, id, arrived, head, body).await;
    let (account, place, request) = match prepared {
        Ok(prepared) => prepared,
        Err(refusal) if is_keyed => {
            let outcome = rules::Reach::Held.outcome(attempt);
            return Err(refusal.with_outcome(outcome));
        }
        Err(refusal) => return Err(refusal),
    };
    if !place.route.idempotent {
        return once::receive(state, account, request).await;
    }
    admit(state, account.as_ref())?;
    run(state, view, place.service, account.as_ref(), &request).await
}

/// Reads a request whole and finds its client account and route.
async fn prepare<'a>(
    state: &state::State,
    view: &'a view::View,
    id: &str,
    arrived: instant::Instant,
    head: hyper::http::request::Parts,
    body: hyper::body::Incoming,
) -> exchange::Result<(Option<name::Account>, catalog::Place<'a>, exchange::Request)> {
    if !view.is_ready() {
        return Err(exchange::Refusal::new(kind::ErrorKind::NotReady));
    }
    let place = view.catalog.route(head.method.as_str(), head.uri.path());
    let place = place.ok_or(exchange::Refusal::new(kind::ErrorKind::NoRoute))?;
    let caller = identity::authenticate(view, place.route, &head.headers, state.clock.now())?;
    let limit = timeout(&head.headers, place.service)?;
    let body = read(body).await?;
    let request = exchange::Request {
        id: id.to_owned(),
        method: head.method,
        target: head.uri,
        headers: head.headers,
        body,
        credential: caller.as_ref().map(|caller| caller.credential),
        deadline: arrived + limit,
    };
    Ok((caller.map(|caller| caller.account), place, request))
}

/// Runs a request that its idempotency key lets start.
///
/// # Errors
///
/// Refuses with "not run" only what no target has started.
pub async fn run_started(
    state: &sync::Arc<state::State>,
    account: Option<&name::Account>,
    request: &exchange::Request,
) -> exchange::Result<exchange::Answer> {
    let view = state.view();
    let place = view
        .catalog
        .route(request.method.as_str(), request.target.path());
    let place = place.ok_or(exchange::Refusal::new(kind::ErrorKind::NoRoute))?;
    admit(state, account)?;
    run(state, &view, place.service, account, request).await
}

fn admit(state: &state::State, account: Option<&name::Account>) -> exchange::Result<()> {
    match account {
        Some(account) => state.admission.admit(account, state.clock.now()),
        None => Ok(()),
    }
}

fn timeout(
    headers: &hyper::HeaderMap,
    service: &record::Service,
) -> exchange::Result<time::Duration> {
    let Some(value) = headers.get(header::TIMEOUT) else {
        return Ok(service.deadline.get());
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    let millis = millis.ok_or(exchange::Refusal::new(kind::ErrorKind::BadRequest))?;
    Ok(time::Duration::from_millis(millis))
}

async fn read(body: hyper::body::Incoming) -> exchange::Result<bytes::Bytes> {
    let limited = http_body_util::Limited::new(body, BODY_LIMIT_BYTES);
    let body = limited.collect().await;
    let body = body.map_err(|_error| exchange::Refusal::new(kind::ErrorKind::BadRequest))?;
    Ok(body.to_bytes())
}

/// Runs a request that may be sent to several targets in turn while none has started it.
async fn run(
    state: &sync::Arc<state::State>,
    view: &view::View,
    service: &record::Service,
    account: Option<&name::Account>,
    request: &exchange::Request,
) -> exchange::Result<exchange::Answer> {
    let print = once::print(account, request);
    let mut tried = Vec::new();
    while tried.len() < TARGETS_PER_REQUEST {
        let stay = quarantine::enter(state, print, request.deadline).await?;
        let zone = &state.settings.zone;
        let Some((target, slot)) = state.balance.choose(&view.catalog, service, zone, &tried)
        else {
            break;
        };
        if request.left(state.clock.now()).is_zero() {
            return Err(exchange::Refusal::new(kind::ErrorKind::DeadlineUnmet));
        }
        confirm(state, request).await?;
        let is_allowed = || recheck(state, request).is_ok();
        let sent = forward::send(
            &state.pool,
            &target,
            request,
            account,
            &state.clock,
            is_allowed,
        );
        let result = sent.await;
        drop(slot);
        stay.end(ending(&result, &target.name));
        match result {
            Ok(answer) => return Ok(answer),
            Err(forward::Failure::NotStarted) => tried.push(target.name),
            Err(forward::Failure::Broken | forward::Failure::Unknown) => {
                return Err(exchange::Refusal::new(kind::ErrorKind::TargetFailed));
            }
            Err(forward::Failure::TimedOut) => {
                let refusal = exchange::Refusal::new(kind::ErrorKind::DeadlineUnmet);
                return Err(refusal.with_outcome(kind::Outcome::Unknown));
            }
        }
    }
    Err(exchange::Refusal::new(kind::ErrorKind::NoTarget))
}

/// Checks the request's key again, and waits for news while the records may be out of date.
///
/// A process that was frozen hears the newest records within moments.
async fn confirm(state: &state::State, request: &exchange::Request) -> exchange::Result<()> {
    loop {
        match recheck(state, request) {
            Err(refusal)
                if refusal.kind == kind::ErrorKind::StaleKeys
                    && !request.left(state.clock.now()).is_zero() =>
            {
                tokio::time::sleep(NEWS_PAUSE).await;
            }
            checked => return checked,
        }
    }
}

fn recheck(state: &state::State, request: &exchange::Request) -> exchange::Result<()> {
    identity::recheck(&state.view(), request.credential, state.clock.now())
}

/// Returns what an exchange tells of its request's fingerprint.
fn ending(result: &forward::Result<exchange::Answer>, target: &name::Target) -> wards::Ending {
    match result {
        Ok(_answer) => wards::Ending::Answered,
        Err(forward::Failure::Broken) => wards::Ending::Died(target.clone()),
        Err(_other) => wards::Ending::Neither,
    }
}
