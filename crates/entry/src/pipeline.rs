//! Request pipeline: authentication, admission, choice of a target, exchange and retries.

use std::sync;
use std::time;

use cadence::CountedExt as _;
use cadence::Timed as _;
use http_body_util::BodyExt as _;
use skylark_core::catalog;
use skylark_core::idempotency as keys;
use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
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

/// Longest body of a request.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Delay between two checks of a key while the records may be out of date.
const RECHECK_DELAY: time::Duration = time::Duration::from_millis(10);
/// Timeout of batch work, which has no deadline of its own.
const BATCH_TIMEOUT: time::Duration = time::Duration::from_mins(5);

/// Responds to one request of a caller.
pub async fn handle(
    state: &sync::Arc<state::State>,
    incoming: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<response::Body> {
    let id = state.next_request_id();
    let received_at = state.clock.now();
    let view = state.view();
    let result = serve(state, &view, &id, received_at, incoming).await;
    journal::record_unrun(state, &view, &id, received_at, &result);
    measure(state, received_at, &result);
    match result {
        Ok(received) => response::from_target(&id, received),
        Err(refusal) => response::from_refusal(&id, &refusal),
    }
}

fn measure(
    state: &state::State,
    received_at: instant::Instant,
    result: &exchange::Result<exchange::Response>,
) {
    let _ignored = state
        .metrics
        .time("request", state.clock.now().since(received_at));
    let sent = match result {
        Ok(_response) => state.metrics.incr("answered"),
        Err(refusal) => state.metrics.incr(&format!("refused.{}", refusal.kind)),
    };
    if let Err(error) = sent {
        log::debug!(error:% = error; "a metric could not be sent; skipping it");
    }
}

async fn serve(
    state: &sync::Arc<state::State>,
    view: &view::View,
    id: &str,
    received_at: instant::Instant,
    incoming: hyper::Request<hyper::body::Incoming>,
) -> exchange::Result<exchange::Response> {
    let (head, body) = incoming.into_parts();
    let is_keyed = head.headers.contains_key(header::IDEMPOTENCY_KEY);
    let attempt = idempotency::attempt(&head.headers);
    let prepared = prepare(state, view, id, received_at, head, body).await;
    let (account, matched, request) = match prepared {
        Ok(prepared) => prepared,
        Err(refusal) if is_keyed => {
            let outcome = keys::Progress::NotForwarded.outcome(attempt);
            return Err(refusal.with_outcome(outcome));
        }
        Err(refusal) => return Err(refusal),
    };
    if !matched.route.idempotent {
        return idempotency::receive(state, account, request).await;
    }
    admit(state, matched, account.as_ref(), &request).await?;
    run(state, matched, account.as_ref(), &request).await
}

/// Reads a request with its body, authenticates it, and finds its client account and route.
async fn prepare<'a>(
    state: &state::State,
    view: &'a view::View,
    id: &str,
    received_at: instant::Instant,
    mut head: hyper::http::request::Parts,
    body: hyper::body::Incoming,
) -> exchange::Result<(
    Option<name::Account>,
    catalog::RouteMatch<'a>,
    exchange::Request,
)> {
    if !view.has_records() || !state.rate_limiter.wait_until_ready(&state.clock).await {
        return Err(exchange::Refusal::new(kind::ErrorKind::NotReady));
    }
    let matched = view.catalog.route(head.method.as_str(), head.uri.path());
    let matched = matched.ok_or(exchange::Refusal::new(kind::ErrorKind::NoRoute))?;
    let caller = auth::authenticate(view, matched.route, &head.headers, state.clock.now())?;
    scrub::scrub(&mut head, &view.catalog)?;
    let account = caller.as_ref().map(|caller| &caller.account);
    let is_batch = matched.is_batch(account.and_then(|name| view.catalog.accounts.get(name)));
    let timeout = request_timeout(&head.headers, matched.service, is_batch)?;
    let body = read_body(body).await?;
    let request = exchange::Request {
        id: id.to_owned(),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        credential: caller.as_ref().map(|caller| caller.credential),
        deadline: received_at + timeout,
    };
    Ok((caller.map(|caller| caller.account), matched, request))
}

/// Runs a request that the ledger of idempotency keys has permitted to start.
///
/// # Errors
///
/// Refuses with the outcome "not run" only what no target has started.
pub async fn run_started(
    state: &sync::Arc<state::State>,
    account: Option<&name::Account>,
    request: &exchange::Request,
) -> exchange::Result<exchange::Response> {
    let view = state.view();
    let matched = view
        .catalog
        .route(request.method.as_str(), request.uri.path());
    let matched = matched.ok_or(exchange::Refusal::new(kind::ErrorKind::NoRoute))?;
    admit(state, matched, account, request).await?;
    run(state, matched, account, request).await
}

/// Admits a request within the rate limit of its account, and records the decision on a refusal.
async fn admit(
    state: &state::State,
    matched: catalog::RouteMatch<'_>,
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
        let mut trace = journal::Trace::new(state, matched.service, Some(account), request);
        let refusal = trace.record_check(refusal);
        trace.finish(state, &Err(refusal.clone()));
        refusal
    })
}

fn request_timeout(
    headers: &hyper::HeaderMap,
    service: &record::Service,
    is_batch: bool,
) -> exchange::Result<time::Duration> {
    let Some(value) = headers.get(header::TIMEOUT) else {
        let default = service.deadline.get();
        return Ok(if is_batch { BATCH_TIMEOUT } else { default });
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    let millis = millis.ok_or(exchange::Refusal::new(kind::ErrorKind::BadRequest))?;
    Ok(time::Duration::from_millis(millis))
}

async fn read_body(body: hyper::body::Incoming) -> exchange::Result<bytes::Bytes> {
    let limited = http_body_util::Limited::new(body, MAX_BODY_BYTES);
    let body = limited.collect().await;
    let body = body.map_err(|_error| exchange::Refusal::new(kind::ErrorKind::BadRequest))?;
    Ok(body.to_bytes())
}

/// Runs a request, which may be sent to several targets in turn as long as none has started it.
async fn run(
    state: &sync::Arc<state::State>,
    matched: catalog::RouteMatch<'_>,
    account: Option<&name::Account>,
    request: &exchange::Request,
) -> exchange::Result<exchange::Response> {
    let mut trace = journal::Trace::new(state, matched.service, account, request);
    let view = state.view();
    let is_batch = matched.is_batch(account.and_then(|name| view.catalog.accounts.get(name)))
        && !request.headers.contains_key(header::TIMEOUT);
    trace.deadline = (!is_batch).then(|| request.remaining(state.clock.now()));
    let result = send_with_retries(state, matched.service, account, request, &mut trace).await;
    trace.finish(state, &result);
    result
}

/// Sends a request to targets in turn, until one starts it or no retry is allowed.
async fn send_with_retries(
    state: &sync::Arc<state::State>,
    service: &record::Service,
    account: Option<&name::Account>,
    request: &exchange::Request,
    trace: &mut journal::Trace,
) -> exchange::Result<exchange::Response> {
    let fingerprint = idempotency::fingerprint(account, request);
    let mut tried = Vec::new();
    loop {
        let admitted = breaker::admit(state, fingerprint, request.deadline).await;
        let guard = admitted.map_err(|refusal| trace.record_check(refusal))?;
        let slot = acquire_slot(state, service, account, request, &tried, trace).await?;
        let confirmed = confirm_key(state, request).await;
        confirmed.map_err(|refusal| trace.record_check(refusal))?;
        let started = state.clock.now();
        let target = slot.target.clone();
        let result = forward::send(state, guard, &target, request, account).await;
        let elapsed = state.clock.now().since(started);
        trace.record_send(&target.name, &result, elapsed);
        let (completion, report) = completion(&result, elapsed);
        slot.finish(completion, report);
        match result {
            Ok(response) => {
                state.balancer.record_success();
                return Ok(response);
            }
            Err(forward::Failure::AccessDenied) => {
                let outdated = exchange::Refusal::new(kind::ErrorKind::StaleKeys);
                let refusal = recheck(state, request).err().unwrap_or(outdated);
                return Err(trace.record_check(refusal));
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
        let has_attempts_left = tried.len() < usize::from(steer::RetryBudget::MAX_ATTEMPTS);
        if !has_attempts_left || !state.balancer.take_retry(state.clock.now()) {
            return Err(trace.record_retry_denied());
        }
    }
}

/// Returns a slot of a target, after waiting for a free one if need be.
async fn acquire_slot(
    state: &state::State,
    service: &record::Service,
    account: Option<&name::Account>,
    request: &exchange::Request,
    tried: &[name::Target],
    trace: &mut journal::Trace,
) -> exchange::Result<balance::SlotGuard> {
    let view = state.view();
    let query = balance::Request {
        catalog: &view.catalog,
        hosts: view.hosts.len(),
        service,
        account,
        seed: trace.seed,
        deadline: trace.deadline.map(|_duration| request.deadline),
        tried,
    };
    trace.version = view.catalog.version;
    let slot = state
        .balancer
        .acquire(query, &state.clock, &mut trace.steps)
        .await?;
    trace.version = slot.version;
    Ok(slot)
}

/// Returns the end of an exchange and the load report, as the load balancer counts them.
fn completion(
    result: &forward::Result<exchange::Response>,
    elapsed: time::Duration,
) -> (steer::Completion, steer::LoadReport) {
    let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    let no_report = steer::LoadReport::default();
    match result {
        Ok(response) => {
            let mut report = forward::load_report(&response.headers);
            // The target counts this request too.
            report.running = report.running.map(|running| running.saturating_sub(1));
            (steer::Completion::Answered(micros), report)
        }
        Err(forward::Failure::Shed(report)) => (steer::Completion::Shed, *report),
        Err(forward::Failure::TimedOut) => (steer::Completion::Expired(micros), no_report),
        Err(forward::Failure::AccessDenied) => (steer::Completion::Cancelled, no_report),
        Err(_failure) => (steer::Completion::Failed, no_report),
    }
}

/// Checks the request's key again, and waits for records while they may be out of date.
///
/// The wait is short after a pause of the process: the control process sends the newest records
/// again within moments.
async fn confirm_key(state: &state::State, request: &exchange::Request) -> exchange::Result<()> {
    loop {
        match recheck(state, request) {
            Err(refusal)
                if refusal.kind == kind::ErrorKind::StaleKeys
                    && !request.remaining(state.clock.now()).is_zero() =>
            {
                tokio::time::sleep(RECHECK_DELAY).await;
            }
            result => return result,
        }
    }
}

fn recheck(state: &state::State, request: &exchange::Request) -> exchange::Result<()> {
    auth::recheck(&state.view(), request.credential, state.clock.now())
}
