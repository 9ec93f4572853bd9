//! Request pipeline: match the route, admit against the quota, pick a target, forward.

use std::net;
use std::sync;
use std::time;

use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::secret;
use skylark_core::traffic;
use skylark_platform::header;
use skylark_runtime::field;
use skylark_runtime::logs;

use super::active;
use super::attempt;
use super::body;
use super::charge;
use super::exchange;
use super::memory;
use super::queue;
use super::response;
use super::retry_token;
use super::state;
use super::tokens;
use super::upload;

/// Deadline of a request that states none.
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(30);
/// Retry delay of a request that this host cannot serve, but another one can.
const OTHER_HOST_DELAY: time::Duration = time::Duration::from_millis(100);
/// Retry delay when memory for bodies runs out; slow callers free theirs at their deadline.
const MEMORY_DELAY: time::Duration = time::Duration::from_secs(1);
/// Time after the stop signal from which only requests with an early deadline are admitted, half of
/// the grace period at most.
const LATE_STOP_TIME: time::Duration = time::Duration::from_millis(2_900);
/// Time before the forced kill at which requests must have ended.
const STOP_MARGIN: time::Duration = time::Duration::from_millis(900);

/// Error response to a request without a usable response of a target.
struct Rejection {
    kind: kind::ErrorKind,
    outcome: kind::Outcome,
    delay: Option<time::Duration>,
    reason: &'static str,
}

impl Rejection {
    fn new(kind: kind::ErrorKind, reason: &'static str) -> Self {
        Self {
            kind,
            outcome: kind.answer().outcome,
            delay: None,
            reason,
        }
    }

    fn with_delay(self, delay: time::Duration) -> Self {
        Self {
            delay: Some(delay),
            ..self
        }
    }
}

/// Fields of a request for the log.
#[derive(Default)]
struct RequestLog {
    id: String,
    route: Option<sync::Arc<traffic::Route>>,
    account: Option<sync::Arc<traffic::Account>>,
    rules: u64,
    picks: Vec<traffic::Pick>,
    waited: bool,
    /// Host that was asked for a token of the account's share.
    holder: Option<net::SocketAddr>,
}

/// Returns whether a request may run more than once, by the route that it matches.
pub(crate) fn is_idempotent(state: &state::State, parts: &hyper::http::request::Parts) -> bool {
    let matched = match_route(state, parts, &mut RequestLog::default());
    matched.is_ok_and(|(route, _account, _rules)| route.is_idempotent())
}

/// Serves one request of a caller; `body` is `None` for a request that is only its head.
pub(crate) async fn serve(
    state: sync::Arc<state::State>,
    parts: hyper::http::request::Parts,
    body: Option<hyper::body::Incoming>,
) -> response::Response {
    let active = active::ActiveRequest::new(&state);
    let arrived = state.clock.now();
    let mut entry = RequestLog {
        id: header_text(&parts.headers, header::REQUEST_ID.as_str()),
        ..RequestLog::default()
    };
    let result = forward(&state, parts, body, arrived, &mut entry).await;
    let took = state.clock.now().since(arrived);
    let response = match result {
        Ok(response) => {
            state.metrics.record_response(took);
            log_request(&entry, response.status().as_u16(), took, "answered");
            response
        }
        Err(rejection) => {
            state.metrics.record_refusal(rejection.kind, took);
            log_request(
                &entry,
                rejection.kind.answer().status,
                took,
                rejection.reason,
            );
            response::error(
                rejection.kind,
                rejection.outcome,
                rejection.delay,
                &entry.id,
            )
        }
    };
    response.map(|body| body.with_active(active))
}

fn log_request(entry: &RequestLog, status: u16, took: time::Duration, reason: &'static str) {
    let route = entry.route.as_ref().map_or("", |route| &route.name);
    let account = entry.account.as_ref().map_or("", |a| a.name.as_str());
    let last = entry.picks.last();
    let target = last.map_or("", |pick| pick.target.as_str());
    // Only failures of the host or the service are logged as failed; a caller's own errors are not.
    let is_failed = matches!(status, 429 | 500..);
    log::info!(
        target: if is_failed { logs::FAILED_REQUEST } else { logs::REQUEST },
        request = entry.id.as_str(), status, reason, route, account, rules = entry.rules,
        target_id = target, order = last.map_or(0, |pick| pick.preference),
        warmth = last.map_or("", |pick| pick.warmth.as_str()),
        load = last.map_or(0.0, |pick| pick.load),
        expected:% = field::Optional(last.map(|pick| field::Millis(pick.expected_latency))),
        sends = entry.picks.len(), waited = entry.waited,
        holder:% = field::Optional(entry.holder), took:% = field::Millis(took);
        "request"
    );
}

fn header_text(headers: &hyper::HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn forward(
    state: &sync::Arc<state::State>,
    parts: hyper::http::request::Parts,
    body: Option<hyper::body::Incoming>,
    arrived: instant::Instant,
    entry: &mut RequestLog,
) -> Result<response::Response, Rejection> {
    let (route, account, rules) = match_route(state, &parts, entry)?;
    let limits = rules.limits;
    let deadline = header::deadline(&parts.headers).unwrap_or(DEFAULT_DEADLINE);
    let until = arrived + deadline.min(route.timeout);
    let is_over = |length: u64| length > limits.body_bytes;
    let length = body
        .as_ref()
        .and_then(|body| hyper::body::Body::size_hint(body).exact());
    if length.is_some_and(is_over) {
        return Err(Rejection::new(
            kind::ErrorKind::TooLarge,
            "request body over the limit",
        ));
    }
    let timeout = until.since(state.clock.now());
    let mut reservation = state.memory.reserve();
    let mut payload = match body {
        Some(body) => read_body(body, timeout, limits.body_bytes, &mut reservation).await?,
        None => exchange::Payload::Whole(bytes::Bytes::new()),
    };
    let service = state.cluster().dispatcher_mut().choose_service(&route);
    let Some(service) = service else {
        return Err(Rejection::new(
            kind::ErrorKind::NoTarget,
            "route has no service",
        ));
    };
    let affinity_key = match header::affinity_key(&parts.headers).filter(|_key| route.has_affinity)
    {
        Some(key) => traffic::HashKey::new(&route.name, key.as_bytes()),
        None => traffic::HashKey::new(&route.name, entry.id.as_bytes()),
    };
    let fingerprint = fingerprint(&parts, account.as_deref(), &payload);
    let mut request = traffic::Request {
        route,
        account,
        service,
        affinity_key,
        arrived,
        deadline: until,
        fingerprint,
        tried: Vec::new(),
    };
    let mut charge = admit(state, &request, entry).await?;
    let outgoing = build_request(parts, entry, &request);
    let sent = send_with_retries(
        state,
        &mut request,
        &outgoing,
        &mut payload,
        &mut charge,
        entry,
    );
    let result = sent.await;
    if let Some(charge) = &mut charge {
        let has_not_run =
            matches!(&result, Err(rejection) if rejection.outcome == kind::Outcome::NotRun);
        charge.set_spent(!has_not_run);
    }
    result
}

type Matched = (
    sync::Arc<traffic::Route>,
    Option<sync::Arc<traffic::Account>>,
    sync::Arc<traffic::Rules>,
);

fn match_route(
    state: &state::State,
    parts: &hyper::http::request::Parts,
    entry: &mut RequestLog,
) -> Result<Matched, Rejection> {
    refuse_while_catching_up(state)?;
    let rules = state.cluster().dispatcher().rules().map(sync::Arc::clone);
    let not_ready = || {
        Rejection::new(kind::ErrorKind::NotReady, "no configuration yet")
            .with_delay(OTHER_HOST_DELAY)
    };
    let rules = rules.ok_or_else(not_ready)?;
    entry.rules = rules.version;
    let host = header_text(&parts.headers, hyper::header::HOST.as_str());
    let key = header::api_key(&parts.headers).map(secret::Secret::new);
    match rules.find(&host, parts.uri.path(), key.as_ref()) {
        traffic::RouteMatch::Route(route, account) => {
            entry.route = Some(sync::Arc::clone(&route));
            entry.account.clone_from(&account);
            Ok((route, account, rules))
        }
        traffic::RouteMatch::NoRoute => Err(Rejection::new(kind::ErrorKind::NoRoute, "no route")),
        traffic::RouteMatch::NoKey => Err(Rejection::new(
            kind::ErrorKind::Unauthorized,
            "key missing or not valid",
        )),
    }
}

/// Refuses requests while what this host knows may be from before a suspension.
fn refuse_while_catching_up(state: &state::State) -> Result<(), Rejection> {
    if state.is_catching_up() {
        let reason = exchange::SUSPENDED;
        return Err(Rejection::new(kind::ErrorKind::NotReady, reason).with_delay(OTHER_HOST_DELAY));
    }
    Ok(())
}

async fn read_body(
    incoming: hyper::body::Incoming,
    timeout: time::Duration,
    max_bytes: u64,
    reservation: &mut memory::Reservation,
) -> Result<exchange::Payload, Rejection> {
    if hyper::body::Body::is_end_stream(&incoming) {
        return Ok(exchange::Payload::Whole(bytes::Bytes::new()));
    }
    match tokio::time::timeout(timeout, body::read(incoming, reservation)).await {
        Err(_elapsed) => Err(Rejection::new(
            kind::ErrorKind::Overloaded,
            "request body incomplete at the deadline",
        )),
        Ok(Err(_fault)) => Err(Rejection::new(
            kind::ErrorKind::BadRequest,
            "request body cut off",
        )),
        Ok(Ok(body::Prefix::Complete(bytes))) => Ok(exchange::Payload::Whole(bytes)),
        Ok(Ok(body::Prefix::NoMemory(..))) => Err(Rejection::new(
            kind::ErrorKind::Overloaded,
            "no memory for the request body",
        )
        .with_delay(MEMORY_DELAY)),
        Ok(Ok(body::Prefix::Partial(head, tail))) => {
            let sent = u64::try_from(head.len()).unwrap_or(u64::MAX);
            let remaining = max_bytes.saturating_sub(sent);
            let body = body::Forwarded::streaming(head, tail, remaining);
            Ok(exchange::Payload::Once(Some(body)))
        }
    }
}

/// Admits a request, or rejects it before any target is picked; returns the token of its account.
async fn admit(
    state: &sync::Arc<state::State>,
    request: &traffic::Request,
    entry: &mut RequestLog,
) -> Result<Option<charge::Charge>, Rejection> {
    let now = state.clock.now();
    if let Some(stopping) = state.stopping_since() {
        let grace = state.settings().grace_period;
        let end = stopping + grace.saturating_sub(STOP_MARGIN);
        let is_late = now >= stopping + LATE_STOP_TIME.min(grace / 2);
        if state.is_closed() || is_late && request.deadline > end {
            return Err(Rejection::new(kind::ErrorKind::Leaving, "host is stopping")
                .with_delay(OTHER_HOST_DELAY));
        }
    }
    if state
        .cluster()
        .dispatcher()
        .is_quarantined(request.fingerprint, now)
    {
        return Err(Rejection::new(
            kind::ErrorKind::Quarantined,
            "quarantined: targets crashed on this request",
        ));
    }
    let charge = match &request.account {
        Some(account) => Some(charge(state, &account.name, entry).await?),
        None => None,
    };
    state
        .cluster()
        .dispatcher_mut()
        .record_arrival(request, state.clock.now());
    Ok(charge)
}

/// Takes a token of the account's rate limit for a request.
async fn charge(
    state: &sync::Arc<state::State>,
    account: &name::Account,
    entry: &mut RequestLog,
) -> Result<charge::Charge, Rejection> {
    let now = state.clock.now();
    let charge = state
        .cluster()
        .dispatcher_mut()
        .quotas_mut()
        .admit(account, now);
    let charged = match charge {
        traffic::QuotaDecision::Admitted => Ok(charge::Charge::new(state, account)),
        traffic::QuotaDecision::Limited(delay) => Err(delay),
        traffic::QuotaDecision::AskHolder(holder) => {
            entry.holder = Some(holder);
            tokens::request(state, holder, account).await
        }
    };
    charged.map_err(|delay| {
        Rejection::new(kind::ErrorKind::OverRate, "account over its rate").with_delay(delay)
    })
}

/// Returns the fingerprint of a request, the same for each retry by its caller.
fn fingerprint(
    parts: &hyper::http::request::Parts,
    account: Option<&traffic::Account>,
    payload: &exchange::Payload,
) -> u64 {
    let uri = parts.uri.to_string();
    let account = account.map_or("", |account| account.name.as_str());
    let body = match payload {
        exchange::Payload::Whole(bytes) => bytes.as_ref(),
        exchange::Payload::Once(_) => &[],
    };
    let method = parts.method.as_str();
    traffic::fingerprint([method.as_bytes(), uri.as_bytes(), account.as_bytes(), body])
}

fn build_request(
    parts: hyper::http::request::Parts,
    entry: &RequestLog,
    request: &traffic::Request,
) -> exchange::Request {
    let mut headers = parts.headers;
    exchange::remove_hop_headers(&mut headers);
    headers.remove(hyper::header::AUTHORIZATION);
    headers.remove(hyper::header::EXPECT);
    headers.remove(header::ACCOUNT);
    headers.remove(header::EXPECTED_TARGET);
    let account = request
        .account
        .as_ref()
        .map(|account| account.name.as_str());
    let account = account.and_then(|name| hyper::header::HeaderValue::from_str(name).ok());
    if let Some(account) = account {
        headers.insert(header::ACCOUNT, account);
    }
    exchange::Request {
        method: parts.method,
        path: parts.uri,
        headers,
        id: entry.id.clone(),
        is_idempotent: request.route.is_idempotent(),
        deadline: request.deadline,
    }
}

async fn send_with_retries(
    state: &sync::Arc<state::State>,
    request: &mut traffic::Request,
    outgoing: &exchange::Request,
    payload: &mut exchange::Payload,
    charge: &mut Option<charge::Charge>,
    entry: &mut RequestLog,
) -> Result<response::Response, Rejection> {
    let mut sends = 0;
    let mut retry = None;
    let mut may_have_run = false;
    loop {
        let mut attempt = pick_target(state, request, entry).await?;
        attempt.set_retry(retry.take());
        let pick = attempt.pick();
        state.metrics.record_send(pick.warmth, sends > 0);
        entry.picks.push(pick.clone());
        request.tried.push(pick.target.clone());
        // The caller may leave while the target works.
        set_spent(charge, true);
        let outcome = exchange::run(state, &mut attempt, outgoing, payload).await;
        attempt.end(outcome.result);
        may_have_run |= outcome.result.may_have_run();
        set_spent(charge, may_have_run);
        if outcome.is_withheld {
            return Err(withheld(request, sends));
        }
        let is_unsent = |result| matches!(result, traffic::AttemptResult::ConnectFailed);
        if !is_unsent(outcome.result) {
            sends += 1;
        }
        let allows_rerun = match outcome.result {
            traffic::AttemptResult::Failed(_) | traffic::AttemptResult::Disconnected => {
                request.route.is_idempotent()
            }
            traffic::AttemptResult::NotRun(_)
            | traffic::AttemptResult::Misdirected
            | traffic::AttemptResult::ConnectFailed => true,
            traffic::AttemptResult::Answered(_)
            | traffic::AttemptResult::Unsent
            | traffic::AttemptResult::TimedOut
            | traffic::AttemptResult::Cancelled => false,
        };
        let has_sends_left = sends < request.route.max_attempts && payload.is_sendable();
        if allows_rerun && has_sends_left && state.clock.now() < request.deadline {
            if sends == 0 {
                continue;
            }
            retry = retry_token::RetryToken::take(state, &request.service);
            if retry.is_some() {
                continue;
            }
        }
        if let Some(response) = outcome.response {
            return Ok(response);
        }
        return Err(rejection(state, request, &outcome, sends));
    }
}

fn set_spent(charge: &mut Option<charge::Charge>, is_spent: bool) {
    if let Some(charge) = charge {
        charge.set_spent(is_spent);
    }
}

/// Returns the rejection of a request whose next attempt is withheld after `sends` others, as the
/// host was suspended.
fn withheld(request: &traffic::Request, sends: usize) -> Rejection {
    let reason = exchange::SUSPENDED;
    // An idempotent request may have run at an earlier target.
    if sends > 0 && request.route.is_idempotent() {
        return Rejection::new(kind::ErrorKind::TargetFailed, reason);
    }
    Rejection::new(kind::ErrorKind::NotReady, reason).with_delay(OTHER_HOST_DELAY)
}

/// Returns the rejection of a request whose last attempt gave no usable response.
fn rejection(
    state: &state::State,
    request: &traffic::Request,
    outcome: &exchange::Outcome,
    sends: usize,
) -> Rejection {
    if let Some(fault) = outcome.upload_fault {
        return upload_rejection(fault);
    }
    let now = state.clock.now();
    match outcome.result {
        traffic::AttemptResult::NotRun(_)
        | traffic::AttemptResult::Misdirected
        | traffic::AttemptResult::ConnectFailed => {
            let cluster = state.cluster();
            let refusal = cluster
                .dispatcher()
                .refusal(request, kind::ErrorKind::Overloaded, now);
            // An idempotent request may have run at an earlier target.
            let has_not_run = sends <= 1 || !request.route.is_idempotent();
            if has_not_run {
                Rejection::new(refusal.kind, outcome.reason).with_delay(refusal.pause)
            } else {
                Rejection::new(kind::ErrorKind::TargetFailed, outcome.reason)
            }
        }
        traffic::AttemptResult::TimedOut => {
            Rejection::new(kind::ErrorKind::TimedOut, outcome.reason)
        }
        _ => Rejection::new(kind::ErrorKind::TargetFailed, outcome.reason),
    }
}

/// Returns the rejection of a body that failed while it was passed on; its target may have run it.
fn upload_rejection(fault: upload::Fault) -> Rejection {
    let rejection = match fault {
        upload::Fault::CutOff => {
            Rejection::new(kind::ErrorKind::BadRequest, "request body cut off")
        }
        upload::Fault::TooLong => {
            Rejection::new(kind::ErrorKind::TooLarge, "request body over the limit")
        }
    };
    Rejection {
        outcome: kind::Outcome::Unknown,
        ..rejection
    }
}

async fn pick_target(
    state: &sync::Arc<state::State>,
    request: &traffic::Request,
    entry: &mut RequestLog,
) -> Result<attempt::Attempt, Rejection> {
    let now = state.clock.now();
    let placement = state.cluster().dispatcher_mut().place(request, now);
    let delivery = match placement {
        traffic::Placement::Send(pick) => {
            return Ok(attempt::Attempt::new(state, request.clone(), pick));
        }
        traffic::Placement::Refuse(refusal) => queue::Delivery::Refused(refusal),
        traffic::Placement::Wait(until) => {
            entry.waited = true;
            state.metrics.record_wait();
            wait_in_queue(state, request, until).await
        }
    };
    let may_have_run = request.route.is_idempotent() && !request.tried.is_empty();
    match delivery {
        queue::Delivery::Placed(attempt) => Ok(*attempt),
        queue::Delivery::Refused(refusal) if !may_have_run => {
            Err(Rejection::new(refusal.kind, "no capacity in time").with_delay(refusal.pause))
        }
        queue::Delivery::Refused(_) => Err(Rejection::new(
            kind::ErrorKind::TargetFailed,
            "no capacity for another attempt",
        )),
    }
}

async fn wait_in_queue(
    state: &sync::Arc<state::State>,
    request: &traffic::Request,
    until: instant::Instant,
) -> queue::Delivery {
    let (waiter, delivery) = tokio::sync::oneshot::channel();
    let evicted = {
        let mut cluster = state.cluster();
        cluster
            .dispatcher_mut()
            .enqueue(request.clone(), until, waiter)
    };
    if let Some(dequeued) = evicted {
        queue::deliver(state, dequeued);
    }
    state.queue_changed.notify_one();
    match delivery.await {
        Ok(delivery) => delivery,
        Err(_dropped) => {
            let now = state.clock.now();
            let cluster = state.cluster();
            let kind = kind::ErrorKind::Overloaded;
            queue::Delivery::Refused(cluster.dispatcher().refusal(request, kind, now))
        }
    }
}
