//! One exchange with a target.

use std::sync;

use http_body_util::BodyExt as _;
use hyper::header;
use skylark_core::name;
use skylark_core::quarantine;
use skylark_core::record;
use skylark_core::steer;
use skylark_runtime::clock;
use skylark_wire::header as names;
use tokio::sync::oneshot;

use super::auth;
use super::breaker;
use super::connections;
use super::exchange;
use super::response;
use super::state;

/// Why an exchange gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The target could not be reached and did not start the request: another may.
    NotStarted,
    /// The target says that it did not start the request: another may.
    Shed(steer::LoadReport),
    /// The request was not allowed any more when the connection stood.
    AccessDenied,
    /// The connection broke after the request may have been started.
    Disconnected,
    /// The target's answer cannot be trusted to be whole and the request's own.
    InvalidResponse,
    /// The time ran out after the request may have been started.
    TimedOut,
}

/// Result of one exchange.
pub type Result<T> = std::result::Result<T, Failure>;

/// Sends the request to one target and waits for its whole answer.
///
/// An exchange that is late, or whose caller went away, is watched a little longer where
/// no target has answered its fingerprint yet: a crash that it causes is to be seen.
///
/// The request's key is checked again after the connection stands, before the first byte.
///
/// # Errors
///
/// Fails with what is known of a start when no whole answer arrives in time.
pub async fn send(
    state: &sync::Arc<state::State>,
    stay: breaker::RunGuard,
    target: &record::Target,
    request: &exchange::Request,
    account: Option<&name::Account>,
) -> Result<exchange::Response> {
    let (sender, receiver) = oneshot::channel();
    let watched = Watched {
        state: sync::Arc::clone(state),
        stay,
        target: target.clone(),
        request: request.clone(),
        account: account.cloned(),
    };
    tokio::spawn(watched.run(sender));
    match tokio::time::timeout(request.left(state.clock.now()), receiver).await {
        Ok(result) => result.unwrap_or(Err(Failure::InvalidResponse)),
        Err(_elapsed) => Err(Failure::TimedOut),
    }
}

/// An exchange that may outlive the wait of its caller.
struct Watched {
    state: sync::Arc<state::State>,
    stay: breaker::RunGuard,
    target: record::Target,
    request: exchange::Request,
    account: Option<name::Account>,
}

impl Watched {
    async fn run(self, mut sender: oneshot::Sender<Result<exchange::Response>>) {
        let pool = &self.state.connections;
        let account = self.account.as_ref();
        let clock = &self.state.clock;
        let is_allowed = || {
            let credential = self.request.credential;
            auth::recheck(&self.state.view(), credential, clock.now()).is_ok()
        };
        let exchange = attempt(
            pool,
            &self.target,
            &self.request,
            account,
            clock,
            is_allowed,
        );
        let mut exchange = Box::pin(exchange);
        let result = tokio::select! {
            result = &mut exchange => result,
            () = sender.closed() => {
                let grace = tokio::time::timeout(self.stay.grace(), &mut exchange);
                grace.await.unwrap_or(Err(Failure::TimedOut))
            }
        };
        drop(exchange);
        self.stay.end(ending(&result, &self.target.name));
        let _unheard = sender.send(result);
    }
}

/// Returns what an exchange tells of its request's fingerprint.
fn ending(result: &Result<exchange::Response>, target: &name::Target) -> quarantine::RunOutcome {
    match result {
        Ok(_answer) => quarantine::RunOutcome::Answered,
        Err(Failure::Disconnected) => quarantine::RunOutcome::Crashed(target.clone()),
        Err(_other) => quarantine::RunOutcome::Inconclusive,
    }
}

async fn attempt(
    pool: &connections::Pool,
    target: &record::Target,
    request: &exchange::Request,
    account: Option<&name::Account>,
    clock: &clock::Clock,
    is_allowed: impl Fn() -> bool,
) -> Result<exchange::Response> {
    let left = request.left(clock.now());
    let connecting = tokio::time::timeout(left, pool.take(target.address)).await;
    let Ok(Ok(sender)) = connecting else {
        return Err(Failure::NotStarted);
    };
    let outgoing = outgoing(target, request, account);
    let left = request.left(clock.now());
    if left.is_zero() {
        return Err(Failure::NotStarted);
    }
    if !is_allowed() {
        return Err(Failure::AccessDenied);
    }
    run(pool, target, request, sender, outgoing).await
}

async fn run(
    pool: &connections::Pool,
    target: &record::Target,
    request: &exchange::Request,
    mut sender: connections::Connection,
    outgoing: hyper::Request<connections::Body>,
) -> Result<exchange::Response> {
    let response = match sender.send(outgoing).await {
        Ok(response) => response,
        Err(mut error) => return Err(failure(error.take_message().is_some())),
    };
    let (head, body) = response.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_error| Failure::Disconnected)?
        .to_bytes();
    if is_crossed(&head.headers, &request.id) || !is_delimited(&head) {
        return Err(Failure::InvalidResponse);
    }
    pool.give(target.address, sender);
    if head.headers.contains_key(names::NOT_STARTED) {
        return Err(Failure::Shed(word(&head.headers)));
    }
    let name = target.name.clone();
    Ok(exchange::Response {
        status: head.status,
        headers: head.headers,
        body,
        target: name,
    })
}

/// Returns what a target says of itself on an answer.
pub fn word(headers: &hyper::HeaderMap) -> steer::LoadReport {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    steer::LoadReport {
        running: text(names::LOAD).and_then(|value| value.parse().ok()),
        is_leaving: text(names::DRAINING).is_some_and(|value| value != "false"),
    }
}

/// Returns what a failed send says of a start: an unsent request cannot have started.
const fn failure(is_unsent: bool) -> Failure {
    if is_unsent {
        Failure::NotStarted
    } else {
        Failure::Disconnected
    }
}

/// Returns whether the end of an answer's body shows that the body is whole.
fn is_delimited(head: &hyper::http::response::Parts) -> bool {
    let is_bodiless = matches!(head.status.as_u16(), 204 | 304);
    let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
    is_bodiless || has_length || head.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether an answer states that it belongs to another request.
fn is_crossed(headers: &hyper::HeaderMap, id: &str) -> bool {
    headers
        .get(names::REQUEST_ID)
        .is_some_and(|value| value.as_bytes() != id.as_bytes())
}

fn outgoing(
    target: &record::Target,
    request: &exchange::Request,
    account: Option<&name::Account>,
) -> hyper::Request<connections::Body> {
    let mut outgoing = hyper::Request::new(connections::Body::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = origin_form(&request.target);
    let headers = outgoing.headers_mut();
    for (name, value) in &request.headers {
        if is_forwarded(name) {
            headers.append(name, value.clone());
        }
    }
    set(headers, header::HOST, &target.address.to_string());
    set(
        headers,
        header::HeaderName::from_static(names::REQUEST_ID),
        &request.id,
    );
    if let Some(account) = account {
        set(
            headers,
            header::HeaderName::from_static(names::ACCOUNT),
            account.as_str(),
        );
    }
    outgoing
}

/// Returns the path and query alone, as a request to an origin has them.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(hyper::Uri::default, hyper::Uri::from)
}

/// Returns whether a target may see a header: never one that can hold the caller's key.
pub fn is_forwarded(name: &header::HeaderName) -> bool {
    let is_secret = *name == header::AUTHORIZATION || *name == header::COOKIE;
    let is_ours = [names::ACCOUNT, names::REQUEST_ID].contains(&name.as_str());
    let is_length = *name == header::CONTENT_LENGTH || *name == header::HOST;
    !is_secret && !is_ours && !is_length && !response::is_hop(name)
}

fn set(headers: &mut hyper::HeaderMap, name: header::HeaderName, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
