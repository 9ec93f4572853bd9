//! The way of one request: rules, account, target, answer.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::secret;
use skylark_core::traffic;
use skylark_platform::header;
use skylark_runtime::logs;

use super::answer;
use super::asks;
use super::body;
use super::exchange;
use super::memory;
use super::state;
use super::waiting;

/// Time for which a caller waits where it names none.
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(30);
/// Pause of a caller that this host cannot serve, but another one can.
const ELSEWHERE_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Pause of a caller for whose body there is no memory; slow ones free theirs at their deadline.
const CROWDED_PAUSE: time::Duration = time::Duration::from_secs(1);
/// Time from the order to stop after which a request is taken only if it ends in time.
const LATE_START: time::Duration = time::Duration::from_millis(2_900);
/// Time before the end by force by which requests must have ended.
const END_MARGIN: time::Duration = time::Duration::from_millis(900);

/// Why a request got no answer of a target.
struct Refused {
    kind: kind::ErrorKind,
    outcome: kind::Outcome,
    pause: Option<time::Duration>,
    reason: &'static str,
}

impl Refused {
    fn new(kind: kind::ErrorKind, reason: &'static str) -> Self {
        Self {
            kind,
            outcome: kind.answer().outcome,
            pause: None,
            reason,
        }
    }

    fn with_pause(self, pause: time::Duration) -> Self {
        Self {
            pause: Some(pause),
            ..self
        }
    }
}

/// What is told of a request in the log.
#[derive(Default)]
struct Story {
    id: String,
    route: Option<sync::Arc<traffic::Route>>,
    account: Option<sync::Arc<traffic::Account>>,
    rules: u64,
    picks: Vec<traffic::Pick>,
    waited: bool,
    /// Host that was asked for a token of the account's share.
    holder: Option<net::SocketAddr>,
}

/// Counts a request as being served for as long as it lives.
struct Busy(sync::Arc<state::State>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Counts an attempt at a target as ended when it is dropped.
struct Attempt {
    state: sync::Arc<state::State>,
    ask: traffic::Request,
    pick: traffic::Pick,
    ending: traffic::AttemptResult,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        self.state.knowledge().dispatcher_mut().record_result(
            &self.ask,
            &self.pick,
            self.ending,
            now,
        );
        waiting::wake(&self.state);
    }
}

/// Serves one request of a caller.
pub(crate) async fn serve(
    state: sync::Arc<state::State>,
    request: hyper::Request<hyper::body::Incoming>,
) -> answer::Answer {
    state.busy.fetch_add(1, atomic::Ordering::Relaxed);
    let _busy = Busy(sync::Arc::clone(&state));
    let arrived = state.clock.now();
    let mut story = Story {
        id: text(request.headers(), header::REQUEST_ID.as_str()),
        ..Story::default()
    };
    let result = pass(&state, request, arrived, &mut story).await;
    let took = state.clock.now().since(arrived);
    let mut answer = match result {
        Ok(answer) => {
            state.metrics.answer(took);
            tell(&story, answer.status().as_u16(), took, "answered");
            answer
        }
        Err(refused) => {
            state.metrics.refuse(refused.kind, took);
            tell(&story, refused.kind.answer().status, took, refused.reason);
            answer::refuse(refused.kind, refused.outcome, refused.pause, &story.id)
        }
    };
    if state.left().is_some() {
        let close = hyper::header::HeaderValue::from_static("close");
        answer
            .headers_mut()
            .insert(hyper::header::CONNECTION, close);
    }
    answer
}

fn tell(story: &Story, status: u16, took: time::Duration, reason: &'static str) {
    let route = story.route.as_ref().map_or("", |route| &route.name);
    let account = story.account.as_ref().map_or("", |a| a.name.as_str());
    let last = story.picks.last();
    let target = last.map_or("", |pick| pick.target.as_str());
    // What a caller did wrong is no failure of this host.
    let is_failed = matches!(status, 429 | 500..);
    log::info!(
        target: if is_failed { logs::FAILED_REQUEST } else { logs::REQUEST },
        request = story.id.as_str(), status, reason, route, account, rules = story.rules,
        target_id = target, order = last.map_or(0, |pick| pick.preference),
        warmth:? = last.map(|pick| pick.warmth),
        load = last.map_or(0.0, |pick| pick.load), expected:? = last.map(|pick| pick.expected_latency),
        sends = story.picks.len(), waited = story.waited, holder:? = story.holder, took:? = took;
        "request"
    );
}

fn text(headers: &hyper::HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn pass(
    state: &sync::Arc<state::State>,
    request: hyper::Request<hyper::body::Incoming>,
    arrived: instant::Instant,
    story: &mut Story,
) -> Result<answer::Answer, Refused> {
    let (parts, incoming) = request.into_parts();
    let (route, account, rules) = find(state, &parts, story)?;
    let limits = rules.limits;
    let deadline = header::deadline(&parts.headers).unwrap_or(DEFAULT_DEADLINE);
    let until = arrived + deadline.min(route.timeout);
    let is_over = |length: u64| length > limits.body_bytes;
    let length = hyper::body::Body::size_hint(&incoming).exact();
    if length.is_some_and(is_over) {
        return Err(Refused::new(
            kind::ErrorKind::TooLarge,
            "body over the limit",
        ));
    }
    let left = until.since(state.clock.now());
    let mut hold = state.memory.hold();
    let mut content = read(incoming, left, limits.body_bytes, &mut hold).await?;
    let service = state.knowledge().dispatcher_mut().choose_service(&route);
    let Some(service) = service else {
        return Err(Refused::new(
            kind::ErrorKind::NoTarget,
            "route without service",
        ));
    };
    let object = match header::object(&parts.headers).filter(|_key| route.has_affinity) {
        Some(key) => traffic::HashKey::new(&route.name, key.as_bytes()),
        None => traffic::HashKey::new(&route.name, story.id.as_bytes()),
    };
    let print = print(&parts, account.as_deref(), &content);
    let mut ask = traffic::Request {
        route,
        account,
        service,
        affinity_key: object,
        arrived,
        deadline: until,
        fingerprint: print,
        tried: Vec::new(),
    };
    admit(state, &ask, story).await?;
    let message = form(parts, story, &ask);
    let result = attempts(state, &mut ask, &message, &mut content, story).await;
    let has_not_run = matches!(&result, Err(refused) if refused.outcome == kind::Outcome::NotRun);
    if let (true, Some(account)) = (has_not_run, &ask.account) {
        asks::refund(state, &account.name).await;
    }
    result
}

type Found = (
    sync::Arc<traffic::Route>,
    Option<sync::Arc<traffic::Account>>,
    sync::Arc<traffic::Rules>,
);

fn find(
    state: &state::State,
    parts: &hyper::http::request::Parts,
    story: &mut Story,
) -> Result<Found, Refused> {
    let rules = state.knowledge().dispatcher().rules().map(sync::Arc::clone);
    let not_ready =
        || Refused::new(kind::ErrorKind::NotReady, "no rules yet").with_pause(ELSEWHERE_PAUSE);
    let rules = rules.ok_or_else(not_ready)?;
    story.rules = rules.version;
    let host = text(&parts.headers, hyper::header::HOST.as_str());
    let key = header::key(&parts.headers).map(secret::Secret::new);
    match rules.find(&host, parts.uri.path(), key.as_ref()) {
        traffic::RouteMatch::Route(route, account) => {
            story.route = Some(sync::Arc::clone(&route));
            story.account.clone_from(&account);
            Ok((route, account, rules))
        }
        traffic::RouteMatch::NoRoute => Err(Refused::new(kind::ErrorKind::NoRoute, "no route")),
        traffic::RouteMatch::NoKey => Err(Refused::new(
            kind::ErrorKind::Unauthorized,
            "key missing or not valid",
        )),
    }
}

async fn read(
    incoming: hyper::body::Incoming,
    left: time::Duration,
    most: u64,
    hold: &mut memory::Hold,
) -> Result<exchange::Content, Refused> {
    if hyper::body::Body::is_end_stream(&incoming) {
        return Ok(exchange::Content::Whole(bytes::Bytes::new()));
    }
    match tokio::time::timeout(left, body::read(incoming, hold)).await {
        Err(_elapsed) => Err(Refused::new(
            kind::ErrorKind::Overloaded,
            "body not whole in time",
        )),
        Ok(Err(_fault)) => Err(Refused::new(kind::ErrorKind::BadRequest, "body broke off")),
        Ok(Ok(body::Read::Whole(bytes))) => Ok(exchange::Content::Whole(bytes)),
        Ok(Ok(body::Read::Crowded(..))) => Err(Refused::new(
            kind::ErrorKind::Overloaded,
            "no memory for the body",
        )
        .with_pause(CROWDED_PAUSE)),
        Ok(Ok(body::Read::Part(head, rest))) => {
            let sent = u64::try_from(head.len()).unwrap_or(u64::MAX);
            let room = most.saturating_sub(sent);
            let passing = body::Passing::streaming(head, rest, room);
            Ok(exchange::Content::Once(Some(passing)))
        }
    }
}

/// Takes a request in, or refuses it before any target is looked for.
async fn admit(
    state: &state::State,
    ask: &traffic::Request,
    story: &mut Story,
) -> Result<(), Refused> {
    let now = state.clock.now();
    if let Some(left) = state.left() {
        let end = left + state.settings().grace.saturating_sub(END_MARGIN);
        if now >= left + LATE_START && ask.deadline > end {
            return Err(Refused::new(kind::ErrorKind::Leaving, "host is stopping")
                .with_pause(ELSEWHERE_PAUSE));
        }
    }
    if state
        .knowledge()
        .dispatcher()
        .is_quarantined(ask.fingerprint, now)
    {
        return Err(Refused::new(
            kind::ErrorKind::Quarantined,
            "targets crashed under it",
        ));
    }
    if let Some(account) = &ask.account {
        charge(state, &account.name, story).await?;
    }
    state
        .knowledge()
        .dispatcher_mut()
        .record_arrival(ask, state.clock.now());
    Ok(())
}

/// Counts a request against its account's rate.
async fn charge(
    state: &state::State,
    account: &name::Account,
    story: &mut Story,
) -> Result<(), Refused> {
    let now = state.clock.now();
    let charge = state
        .knowledge()
        .dispatcher_mut()
        .quotas_mut()
        .admit(account, now);
    let charged = match charge {
        traffic::QuotaDecision::Admitted => Ok(()),
        traffic::QuotaDecision::Limited(pause) => Err(pause),
        traffic::QuotaDecision::AskHolder(holder) => {
            story.holder = Some(holder);
            asks::ask(state, holder, account).await
        }
    };
    charged.map_err(|pause| {
        Refused::new(kind::ErrorKind::OverRate, "account over its rate").with_pause(pause)
    })
}

/// Returns the fingerprint of a request, the same for each resend of it.
fn print(
    parts: &hyper::http::request::Parts,
    account: Option<&traffic::Account>,
    content: &exchange::Content,
) -> u64 {
    let uri = parts.uri.to_string();
    let account = account.map_or("", |account| account.name.as_str());
    let body = match content {
        exchange::Content::Whole(bytes) => bytes.as_ref(),
        exchange::Content::Once(_) => &[],
    };
    let method = parts.method.as_str();
    traffic::fingerprint([method.as_bytes(), uri.as_bytes(), account.as_bytes(), body])
}

fn form(
    parts: hyper::http::request::Parts,
    story: &Story,
    ask: &traffic::Request,
) -> exchange::Message {
    let mut headers = parts.headers;
    exchange::strip(&mut headers);
    headers.remove(hyper::header::AUTHORIZATION);
    headers.remove(hyper::header::EXPECT);
    headers.remove(header::ACCOUNT);
    headers.remove(header::EXPECTED_TARGET);
    let account = ask.account.as_ref().map(|account| account.name.as_str());
    let account = account.and_then(|name| hyper::header::HeaderValue::from_str(name).ok());
    if let Some(account) = account {
        headers.insert(header::ACCOUNT, account);
    }
    exchange::Message {
        method: parts.method,
        path: parts.uri,
        headers,
        id: story.id.clone(),
        is_idempotent: ask.route.is_idempotent(),
        until: ask.deadline,
    }
}

async fn attempts(
    state: &sync::Arc<state::State>,
    ask: &mut traffic::Request,
    message: &exchange::Message,
    content: &mut exchange::Content,
    story: &mut Story,
) -> Result<answer::Answer, Refused> {
    let mut sends = 0;
    loop {
        let pick = place(state, ask, story).await?;
        state.metrics.send(pick.warmth, sends > 0);
        story.picks.push(pick.clone());
        ask.tried.push(pick.target.clone());
        let mut attempt = Attempt {
            state: sync::Arc::clone(state),
            ask: ask.clone(),
            pick,
            ending: traffic::AttemptResult::Cancelled,
        };
        let outcome = exchange::run(state, &attempt.pick, message, content).await;
        attempt.ending = outcome.ending;
        drop(attempt);
        let has_failed_before = |ending| matches!(ending, traffic::AttemptResult::ConnectFailed);
        if !has_failed_before(outcome.ending) {
            sends += 1;
        }
        let may_run_again = match outcome.ending {
            traffic::AttemptResult::Failed(_) | traffic::AttemptResult::Disconnected => {
                ask.route.is_idempotent()
            }
            traffic::AttemptResult::NotRun(_)
            | traffic::AttemptResult::Misdirected
            | traffic::AttemptResult::ConnectFailed => true,
            traffic::AttemptResult::Answered(_)
            | traffic::AttemptResult::TimedOut
            | traffic::AttemptResult::Cancelled => false,
        };
        let has_sends_left = sends < ask.route.max_attempts && content.is_there();
        let may_repeat = may_run_again
            && has_sends_left
            && state.clock.now() < ask.deadline
            && (sends == 0 || state.knowledge().dispatcher_mut().take_retry(&ask.service));
        if may_repeat {
            continue;
        }
        if let Some(answer) = outcome.answer {
            return Ok(answer);
        }
        return Err(refuse(state, ask, &outcome, sends));
    }
}

/// Words the end of a request whose last attempt gave no answer.
fn refuse(
    state: &state::State,
    ask: &traffic::Request,
    outcome: &exchange::Outcome,
    sends: usize,
) -> Refused {
    let now = state.clock.now();
    match outcome.ending {
        traffic::AttemptResult::NotRun(_)
        | traffic::AttemptResult::Misdirected
        | traffic::AttemptResult::ConnectFailed => {
            let known = state.knowledge();
            let refusal = known
                .dispatcher()
                .refusal(ask, kind::ErrorKind::Overloaded, now);
            // An idempotent request may have run at an earlier target.
            let has_not_run = sends <= 1 || !ask.route.is_idempotent();
            if has_not_run {
                Refused::new(refusal.kind, outcome.reason).with_pause(refusal.pause)
            } else {
                Refused::new(kind::ErrorKind::TargetFailed, outcome.reason)
            }
        }
        traffic::AttemptResult::TimedOut => Refused::new(kind::ErrorKind::TimedOut, outcome.reason),
        _ => Refused::new(kind::ErrorKind::TargetFailed, outcome.reason),
    }
}

async fn place(
    state: &sync::Arc<state::State>,
    ask: &traffic::Request,
    story: &mut Story,
) -> Result<traffic::Pick, Refused> {
    let now = state.clock.now();
    let placing = state.knowledge().dispatcher_mut().place(ask, now);
    let placing = match placing {
        traffic::Placement::Wait(until) => {
            story.waited = true;
            state.metrics.wait();
            wait(state, ask, until).await
        }
        placing => placing,
    };
    let has_run = ask.route.is_idempotent() && !ask.tried.is_empty();
    match placing {
        traffic::Placement::Send(pick) => Ok(pick),
        traffic::Placement::Refuse(refusal) if !has_run => {
            Err(Refused::new(refusal.kind, "no room in time").with_pause(refusal.pause))
        }
        _ => Err(Refused::new(
            kind::ErrorKind::TargetFailed,
            "no room for another attempt",
        )),
    }
}

async fn wait(
    state: &sync::Arc<state::State>,
    ask: &traffic::Request,
    until: instant::Instant,
) -> traffic::Placement {
    let (waker, woken) = tokio::sync::oneshot::channel();
    {
        let now = state.clock.now();
        let mut known = state.knowledge();
        let desk = known.dispatcher_mut();
        if let Some(out) = desk.enqueue(ask.clone(), until, waker) {
            waiting::tell(desk, out, now);
        }
    }
    state.line.notify_one();
    match woken.await {
        Ok(placing) => placing,
        Err(_dropped) => {
            let now = state.clock.now();
            let known = state.knowledge();
            let kind = kind::ErrorKind::Overloaded;
            traffic::Placement::Refuse(known.dispatcher().refusal(ask, kind, now))
        }
    }
}
