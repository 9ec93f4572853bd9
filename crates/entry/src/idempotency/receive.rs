//! The receiver's side: to the home, or to the holder of a claim.

use std::sync;

use skylark_core::idempotency;
use skylark_core::kind;
use skylark_core::name;
use skylark_wire::header;

use super::claim;
use super::message;
use super::peers;
use super::resolve;
use super::run;
use crate::exchange;
use crate::state;

/// Part of the time left in which the copy of a silent home's ledger is read meanwhile.
const RECALL_SHARE: u32 = 8;

/// Runs a non-idempotent request at most once under its idempotency key.
///
/// # Errors
///
/// Refuses with "not run" only what has not run and never will under its key.
pub async fn receive(
    state: &sync::Arc<state::State>,
    account: Option<name::Account>,
    request: exchange::Request,
) -> exchange::Result<exchange::Response> {
    let attempt = attempt(&request.headers);
    let bad = exchange::Refusal::new(kind::ErrorKind::BadRequest);
    let key = key(&request.headers).ok_or(bad)?;
    let Some(home) = key.home() else {
        return receive_bare(state, account, key, request, attempt).await;
    };
    if home.incarnation == state.incarnation {
        return run::begin(state, account, key, request).await;
    }
    let holder = home.incarnation.clone();
    pass(state, &holder, account, &key, &request, attempt).await
}

/// Returns which attempt a request says it is.
pub fn attempt(headers: &hyper::HeaderMap) -> idempotency::Attempt {
    let text = headers.get(header::ATTEMPT);
    idempotency::Attempt::parse(text.and_then(|value| value.to_str().ok()))
}

fn key(headers: &hyper::HeaderMap) -> Option<idempotency::Key> {
    let text = headers.get(header::IDEMPOTENCY_KEY)?.to_str().ok()?;
    idempotency::Key::new(text).ok()
}

async fn receive_bare(
    state: &sync::Arc<state::State>,
    account: Option<name::Account>,
    key: idempotency::Key,
    request: exchange::Request,
    attempt: idempotency::Attempt,
) -> exchange::Result<exchange::Response> {
    let print = message::fingerprint(account.as_ref(), &request);
    match claim::claim(state, &key, print, request.deadline).await {
        Some(idempotency::Ownership::Own) => run::begin_claimed(state, account, key, request).await,
        Some(idempotency::Ownership::Other(holder)) if holder == state.incarnation => {
            run::begin(state, account, key, request).await
        }
        Some(idempotency::Ownership::Other(holder)) => {
            let later = idempotency::Attempt::Later;
            pass(state, &holder, account, &key, &request, later).await
        }
        Some(idempotency::Ownership::Reused) => message::outcome(&idempotency::Disposition::Reused),
        None => Err(held(attempt)),
    }
}

/// Passes a request to the process that alone may start it.
async fn pass(
    state: &state::State,
    holder: &name::Incarnation,
    account: Option<name::Account>,
    key: &idempotency::Key,
    request: &exchange::Request,
    attempt: idempotency::Attempt,
) -> exchange::Result<exchange::Response> {
    let now = state.clock.now();
    let call = message::call(request, key, account.as_ref(), now);
    let left = request.remaining(now);
    let print = message::fingerprint(account.as_ref(), request);
    let early = async {
        tokio::time::sleep(left.saturating_sub(left / RECALL_SHARE)).await;
        resolve::resolve(state, holder, key, print, left / RECALL_SHARE).await
    };
    let passed = tokio::select! {
        passed = peers::pass(state, holder, call, left) => passed,
        Some(begin) = early => return message::outcome(&begin),
    };
    let reach = match passed {
        peers::Forwarding::Told(reply) => return message::result(&reply),
        peers::Forwarding::No => idempotency::Progress::NotForwarded,
        peers::Forwarding::Lost => idempotency::Progress::Forwarded,
    };
    let left = request.remaining(state.clock.now());
    if let Some(begin) = resolve::resolve(state, holder, key, print, left).await {
        return message::outcome(&begin);
    }
    let refusal = exchange::Refusal::new(kind::ErrorKind::HomeUnreachable);
    Err(refusal.with_outcome(reach.outcome(attempt)))
}

fn held(attempt: idempotency::Attempt) -> exchange::Refusal {
    let refusal = exchange::Refusal::new(kind::ErrorKind::HomeUnreachable);
    refusal.with_outcome(idempotency::Progress::NotForwarded.outcome(attempt))
}
