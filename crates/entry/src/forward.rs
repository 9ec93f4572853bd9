//! One HTTP exchange with a target.

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

/// Reason why an exchange ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The target could not be reached and did not start the request; another may be tried.
    NotStarted,
    /// The target rejected the request without starting it; another may be tried.
    Shed(steer::LoadReport),
    /// The request's API key was not valid any more once the connection was open; nothing was sent.
    AccessDenied,
    /// The connection closed after the target may have started the request.
    Disconnected,
    /// The response may be truncated or belong to another request.
    InvalidResponse,
    /// The deadline passed after the target may have started the request.
    TimedOut,
}

/// Result of one exchange with a target.
pub type Result<T> = std::result::Result<T, Failure>;

/// Sends a request to one target and waits for the complete response.
///
/// If the deadline passes or the caller disconnects, the exchange is observed a little longer
/// unless a target has already answered a request with this fingerprint: a crash of the target
/// must still be counted against the request.
///
/// The request's API key is checked again once the connection is open, before the first byte.
///
/// # Errors
///
/// Fails when no complete response arrives in time; the failure tells whether the target may
/// have started the request.
pub async fn send(
    state: &sync::Arc<state::State>,
    guard: breaker::RunGuard,
    target: &record::Target,
    request: &exchange::Request,
    account: Option<&name::Account>,
) -> Result<exchange::Response> {
    let (sender, receiver) = oneshot::channel();
    let exchange = Exchange {
        state: sync::Arc::clone(state),
        guard,
        target: target.clone(),
        request: request.clone(),
        account: account.cloned(),
    };
    tokio::spawn(exchange.run(sender));
    match tokio::time::timeout(request.remaining(state.clock.now()), receiver).await {
        Ok(result) => result.unwrap_or(Err(Failure::InvalidResponse)),
        Err(_elapsed) => Err(Failure::TimedOut),
    }
}

/// An exchange that may go on after its caller has stopped waiting.
struct Exchange {
    state: sync::Arc<state::State>,
    guard: breaker::RunGuard,
    target: record::Target,
    request: exchange::Request,
    account: Option<name::Account>,
}

impl Exchange {
    async fn run(self, mut sender: oneshot::Sender<Result<exchange::Response>>) {
        let pool = &self.state.connections;
        let account = self.account.as_ref();
        let clock = &self.state.clock;
        let is_allowed = || {
            let credential = self.request.credential;
            auth::recheck(&self.state.view(), credential, clock.now()).is_ok()
        };
        let exchange = connect_and_send(
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
                let observed = tokio::time::timeout(self.guard.observation_time(), &mut exchange);
                observed.await.unwrap_or(Err(Failure::TimedOut))
            }
        };
        drop(exchange);
        self.guard.finish(run_outcome(&result, &self.target.name));
        let _abandoned = sender.send(result);
    }
}

/// Returns what an exchange shows about its request: answered, crashed the target, or neither.
fn run_outcome(
    result: &Result<exchange::Response>,
    target: &name::Target,
) -> quarantine::RunOutcome {
    match result {
        Ok(_response) => quarantine::RunOutcome::Answered,
        Err(Failure::Disconnected) => quarantine::RunOutcome::Crashed(target.clone()),
        Err(_other) => quarantine::RunOutcome::Inconclusive,
    }
}

async fn connect_and_send(
    pool: &connections::Pool,
    target: &record::Target,
    request: &exchange::Request,
    account: Option<&name::Account>,
    clock: &clock::Clock,
    is_allowed: impl Fn() -> bool,
) -> Result<exchange::Response> {
    let remaining = request.remaining(clock.now());
    let connecting = tokio::time::timeout(remaining, pool.acquire(target.address)).await;
    let Ok(Ok(connection)) = connecting else {
        return Err(Failure::NotStarted);
    };
    let outgoing = build_request(target, request, account);
    let remaining = request.remaining(clock.now());
    if remaining.is_zero() {
        return Err(Failure::NotStarted);
    }
    if !is_allowed() {
        return Err(Failure::AccessDenied);
    }
    send_on(pool, target, request, connection, outgoing).await
}

async fn send_on(
    pool: &connections::Pool,
    target: &record::Target,
    request: &exchange::Request,
    mut connection: connections::Connection,
    outgoing: hyper::Request<connections::Body>,
) -> Result<exchange::Response> {
    let response = match connection.send(outgoing).await {
        Ok(response) => response,
        Err(mut error) => return Err(send_failure(error.take_message().is_some())),
    };
    let (head, body) = response.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_error| Failure::Disconnected)?
        .to_bytes();
    let is_own = is_for_request(&head.headers, &request.id, connection.is_used());
    if !is_own || !has_framed_body(&head) {
        return Err(Failure::InvalidResponse);
    }
    // What follows on a connection whose answers name no id could not be told apart.
    if head.headers.contains_key(names::REQUEST_ID) {
        pool.release(target.address, connection);
    }
    if head.headers.contains_key(names::NOT_STARTED) {
        return Err(Failure::Shed(load_report(&head.headers)));
    }
    let name = target.name.clone();
    Ok(exchange::Response {
        status: head.status,
        headers: head.headers,
        body,
        target: name,
    })
}

/// Returns the load report in the headers of a response.
pub fn load_report(headers: &hyper::HeaderMap) -> steer::LoadReport {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    steer::LoadReport {
        running: text(names::LOAD).and_then(|value| value.parse().ok()),
        is_leaving: text(names::DRAINING).is_some_and(|value| value != "false"),
    }
}

/// Returns the failure of a send: a request of which nothing was sent cannot have been started.
const fn send_failure(is_unsent: bool) -> Failure {
    if is_unsent {
        Failure::NotStarted
    } else {
        Failure::Disconnected
    }
}

/// Returns whether the end of a response's body is marked, so that a truncated body is noticed.
///
/// A body that ends when the connection closes has no such mark.
fn has_framed_body(head: &hyper::http::response::Parts) -> bool {
    let is_bodiless = matches!(head.status.as_u16(), 204 | 304);
    let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
    is_bodiless || has_length || head.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether a response belongs to the request with an id.
///
/// Without an id, a late answer to an earlier request on the connection cannot be ruled out.
fn is_for_request(headers: &hyper::HeaderMap, id: &str, is_used: bool) -> bool {
    match headers.get(names::REQUEST_ID) {
        Some(value) => value.as_bytes() == id.as_bytes(),
        None => !is_used,
    }
}

fn build_request(
    target: &record::Target,
    request: &exchange::Request,
    account: Option<&name::Account>,
) -> hyper::Request<connections::Body> {
    let mut outgoing = hyper::Request::new(connections::Body::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = origin_form(&request.uri);
    let headers = outgoing.headers_mut();
    for (name, value) in &request.headers {
        if is_forwarded(name) {
            headers.append(name, value.clone());
        }
    }
    set_header(headers, header::HOST, &target.address.to_string());
    set_header(
        headers,
        header::HeaderName::from_static(names::REQUEST_ID),
        &request.id,
    );
    if let Some(account) = account {
        set_header(
            headers,
            header::HeaderName::from_static(names::ACCOUNT),
            account.as_str(),
        );
    }
    outgoing
}

/// Returns the URI in origin form: path and query only.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(hyper::Uri::default, hyper::Uri::from)
}

/// Returns whether a header of the caller is forwarded to a target.
///
/// Dropped are headers that can hold the caller's API key, hop-by-hop headers, and those that
/// the entry host sets itself.
pub fn is_forwarded(name: &header::HeaderName) -> bool {
    let is_secret = *name == header::AUTHORIZATION || *name == header::COOKIE;
    let is_host_header = [names::ACCOUNT, names::REQUEST_ID].contains(&name.as_str());
    let is_recomputed = *name == header::CONTENT_LENGTH || *name == header::HOST;
    !is_secret && !is_host_header && !is_recomputed && !response::is_hop_by_hop(name)
}

fn set_header(headers: &mut hyper::HeaderMap, name: header::HeaderName, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
