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
use skylark_core::record;
use skylark_core::steer;
use skylark_wire::header;

use super::auth;
use super::balance;
use super::breaker;
use super::exchange;
use super::forward;
use super::idempotency;
use super::journal;
use super::response;
use super::scrub;
use super::state;
use super::view;

const BODY_LIMIT_BYTES: usize = 1024 * 1024;
/// Pause between two checks of a key while the records may be out of date.
const NEWS_PAUSE: time::Duration = time::Duration::from_millis(10);
/// Time after which batch work without a deadline is given up.
const BATCH_LIMIT: time::Duration = time::Duration::from_mins(5);

/// Answers one request of a caller.
pub async fn handle(
    state: &sync::Arc<state::State>,
    incoming: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<response::Body> {
    let id = state.next_request();
    let arrived = state.clock.now();
    let view = state.view();
    let result = serve(state, &view, &id, arrived, incoming).await;
    journal::note(state, &view, &id, arrived, &result);
    measure(state, arrived, &result);
    match result {
        Ok(whole) => response::whole(&id, whole),
        Err(refusal) => response::refusal(&id, &refusal),
    }
}

fn measure(
    state: &state::State,
    arrived: instant::Instant,
    result: &exchange::Result<exchange::Response>,
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
) -> exchange::Result<exchange::Response> {
    let (head, body) = incoming.into_parts();
    let is_keyed = head.headers.contains_key(header::IDEMPOTENCY_KEY);
    let attempt = idempotency::attempt(&head.headers);
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
        return idempotency::receive(state, account, request).await;
    }
    admit(state, place, account.as_ref(), &request).await?;
    run(state, place, account.as_ref(), &request).await
}

/// Reads a request whole and finds its client account and route.
async fn prepare<'a>(
    state: &state::State,
    view: &'a view::View,
    id: &str,
    arrived: instant::Instant,
    mut head: hyper::http::request::Parts,
    body: hyper::body::Incoming,
) -> exchange::Result<(
    Option<name::Account>,
    catalog::RouteMatch<'a>,
    exchange::Request,
)> {
    if !view.is_ready() || !state.rate_limiter.is_started(&state.clock).await {
        return Err(exchange::Refusal::new(kind::ErrorKind::NotReady));
    }
    let place = view.catalog.route(head.method.as_str(), head.uri.path());
    let place = place.ok_or(exchange::Refusal::new(kind::ErrorKind::NoRoute))?;
    let caller = auth::authenticate(view, place.route, &head.headers, state.clock.now())?;
    scrub::scrub(&mut head, &view.catalog)?;
    let account = caller.as_ref().map(|caller| &caller.account);
    let is_batch = place.is_batch(account.and_then(|name| view.catalog.accounts.get(name)));
    let limit = timeout(&head.headers, place.service, is_batch)?;
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
) -> exchange::Result<exchange::Response> {
    let view = state.view();
    let place = view
        .catalog
        .route(request.method.as_str(), request.target.path());
    let place = place.ok_or(exchange::Refusal::new(kind::ErrorKind::NoRoute))?;
    admit(state, place, account, request).await?;
    run(state, place, account, request).await
}

/// Admits a request within its account's rate; the decision on a refusal names the account.
async fn admit(
    state: &state::State,
    place: catalog::RouteMatch<'_>,
    account: Option<&name::Account>,
    request: &exchange::Request,
) -> exchange::Result<()> {
    let Some(account) = account else {
        return Ok(());
    };
    let admitted = state
        .rate_limiter
        .admit(account, request.deadline, &state.clock);
    admitted.await.map_err(|refusal| {
        let mut trace = journal::Trace::new(state, place.service, Some(account), request);
        let refusal = trace.check(refusal);
        trace.finish(state, &Err(refusal.clone()));
        refusal
    })
}

fn timeout(
    headers: &hyper::HeaderMap,
    service: &record::Service,
    is_batch: bool,
) -> exchange::Result<time::Duration> {
    let Some(value) = headers.get(header::TIMEOUT) else {
        let limit = service.deadline.get();
        return Ok(if is_batch { BATCH_LIMIT } else { limit });
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
    place: catalog::RouteMatch<'_>,
    account: Option<&name::Account>,
    request: &exchange::Request,
) -> exchange::Result<exchange::Response> {
    let mut trace = journal::Trace::new(state, place.service, account, request);
    let view = state.view();
    let is_batch = place.is_batch(account.and_then(|name| view.catalog.accounts.get(name)))
        && !request.headers.contains_key(header::TIMEOUT);
    trace.deadline = (!is_batch).then(|| request.left(state.clock.now()));
    let result = attempts(state, place.service, account, request, &mut trace).await;
    trace.finish(state, &result);
    result
}

/// Sends a request to targets in turn, until one starts it or none may be tried.
async fn attempts(
    state: &sync::Arc<state::State>,
    service: &record::Service,
    account: Option<&name::Account>,
    request: &exchange::Request,
    trace: &mut journal::Trace,
) -> exchange::Result<exchange::Response> {
    let print = idempotency::print(account, request);
    let mut tried = Vec::new();
    loop {
        let stay = breaker::enter(state, print, request.deadline).await;
        let stay = stay.map_err(|refusal| trace.check(refusal))?;
        let seat = take(state, service, account, request, &tried, trace).await?;
        let checked = confirm(state, request).await;
        checked.map_err(|refusal| trace.check(refusal))?;
        let begun = state.clock.now();
        let target = seat.target.clone();
        let result = forward::send(state, stay, &target, request, account).await;
        let spent = state.clock.now().since(begun);
        trace.sent(&target.name, &result, spent);
        let (end, word) = seen(&result, spent);
        seat.end(end, word);
        match result {
            Ok(answer) => {
                state.balancer.succeed();
                return Ok(answer);
            }
            Err(forward::Failure::AccessDenied) => {
                let unsure = exchange::Refusal::new(kind::ErrorKind::StaleKeys);
                let refusal = recheck(state, request).err().unwrap_or(unsure);
                return Err(trace.check(refusal));
            }
            Err(forward::Failure::NotStarted | forward::Failure::Shed(_)) => {
                tried.push(target.name);
            }
            Err(forward::Failure::Disconnected | forward::Failure::InvalidResponse) => {
                return Err(exchange::Refusal::new(kind::ErrorKind::TargetFailed));
            }
            Err(forward::Failure::TimedOut) => {
                let refusal = exchange::Refusal::new(kind::ErrorKind::DeadlineUnmet);
                return Err(refusal.with_outcome(kind::Outcome::Unknown));
            }
        }
        let has_attempts = tried.len() < usize::from(steer::RetryBudget::MAX_ATTEMPTS);
        if !has_attempts || !state.balancer.may_retry(state.clock.now()) {
            return Err(trace.exhausted());
        }
    }
}

/// Returns a place at a target, after waiting for one if need be.
async fn take(
    state: &state::State,
    service: &record::Service,
    account: Option<&name::Account>,
    request: &exchange::Request,
    tried: &[name::Target],
    trace: &mut journal::Trace,
) -> exchange::Result<balance::SlotGuard> {
    let view = state.view();
    let ask = balance::Request {
        catalog: &view.catalog,
        hosts: view.hosts.len(),
        service,
        account,
        seed: trace.seed,
        deadline: trace.deadline.map(|_limit| request.deadline),
        tried,
    };
    trace.version = view.catalog.version;
    let seat = state
        .balancer
        .take(ask, &state.clock, &mut trace.steps)
        .await?;
    trace.version = seat.version;
    Ok(seat)
}

/// Returns what an exchange shows of its target.
fn seen(
    result: &forward::Result<exchange::Response>,
    spent: time::Duration,
) -> (steer::Completion, steer::LoadReport) {
    let micros = u64::try_from(spent.as_micros()).unwrap_or(u64::MAX);
    let silent = steer::LoadReport::default();
    match result {
        Ok(answer) => {
            let mut word = forward::word(&answer.headers);
            word.running = word.running.map(|running| running.saturating_sub(1));
            (steer::Completion::Answered(micros), word)
        }
        Err(forward::Failure::Shed(word)) => (steer::Completion::Shed, *word),
        Err(forward::Failure::TimedOut) => (steer::Completion::Expired(micros), silent),
        Err(forward::Failure::AccessDenied) => (steer::Completion::Cancelled, silent),
        Err(_failure) => (steer::Completion::Failed, silent),
    }
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
    auth::recheck(&state.view(), request.credential, state.clock.now())
}
