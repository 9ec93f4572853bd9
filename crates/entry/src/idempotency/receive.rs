//! Receiving side: forwards a request to its home, or to the process that owns the claim.

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

/// Divisor of the remaining time: its last eighth is kept for reading the copy of the ledger.
///
/// The read starts while the home has still not replied, and whichever ends first counts.
const COPY_READ_DIVISOR: u32 = 8;

/// Runs a request that is not idempotent at most once for its idempotency key.
///
/// # Errors
///
/// Refuses with the outcome "not run" only what has not run and never will with its key.
pub async fn receive(
    state: &sync::Arc<state::State>,
    account: Option<name::Account>,
    request: exchange::Request,
) -> exchange::Result<exchange::Response> {
    let attempt = attempt(&request.headers);
    let invalid = exchange::Refusal::new(kind::ErrorKind::BadRequest);
    let key = key(&request.headers).ok_or(invalid)?;
    let Some(home) = key.home() else {
        return receive_without_home(state, account, key, request, attempt).await;
    };
    if home.incarnation == state.incarnation {
        return run::begin(state, account, key, request).await;
    }
    let holder = home.incarnation.clone();
    forward(state, &holder, account, &key, &request, attempt).await
}

/// Returns whether a request is a first or a later attempt, by its header.
pub fn attempt(headers: &hyper::HeaderMap) -> idempotency::Attempt {
    let text = headers.get(header::ATTEMPT);
    idempotency::Attempt::parse(text.and_then(|value| value.to_str().ok()))
}

fn key(headers: &hyper::HeaderMap) -> Option<idempotency::Key> {
    let text = headers.get(header::IDEMPOTENCY_KEY)?.to_str().ok()?;
    idempotency::Key::new(text).ok()
}

/// Claims a key that names no home, and runs the request here or at the owner of the claim.
async fn receive_without_home(
    state: &sync::Arc<state::State>,
    account: Option<name::Account>,
    key: idempotency::Key,
    request: exchange::Request,
    attempt: idempotency::Attempt,
) -> exchange::Result<exchange::Response> {
    let fingerprint = message::fingerprint(account.as_ref(), &request);
    match claim::claim(state, &key, fingerprint, request.deadline).await {
        Some(idempotency::Ownership::Own) => run::begin_claimed(state, account, key, request).await,
        Some(idempotency::Ownership::Other(holder)) if holder == state.incarnation => {
            run::begin(state, account, key, request).await
        }
        Some(idempotency::Ownership::Other(holder)) => {
            let later = idempotency::Attempt::Later;
            forward(state, &holder, account, &key, &request, later).await
        }
        Some(idempotency::Ownership::Reused) => {
            message::from_disposition(&idempotency::Disposition::Reused)
        }
        None => Err(not_forwarded(attempt)),
    }
}

/// Forwards a request to the only process that may start it.
///
/// If that process does not reply, the decision is read from the copy of its ledger.
async fn forward(
    state: &state::State,
    holder: &name::Incarnation,
    account: Option<name::Account>,
    key: &idempotency::Key,
    request: &exchange::Request,
    attempt: idempotency::Attempt,
) -> exchange::Result<exchange::Response> {
    let now = state.clock.now();
    let call = message::to_message(request, key, account.as_ref(), now);
    let remaining = request.remaining(now);
    let fingerprint = message::fingerprint(account.as_ref(), request);
    let copy_read = async {
        tokio::time::sleep(remaining.saturating_sub(remaining / COPY_READ_DIVISOR)).await;
        resolve::resolve(
            state,
            holder,
            key,
            fingerprint,
            remaining / COPY_READ_DIVISOR,
        )
        .await
    };
    let forwarding = tokio::select! {
        forwarding = peers::forward(state, holder, call, remaining) => forwarding,
        Some(disposition) = copy_read => return message::from_disposition(&disposition),
    };
    let progress = match forwarding {
        peers::Forwarding::Replied(reply) => return message::from_reply(&reply),
        peers::Forwarding::NotSent => idempotency::Progress::NotForwarded,
        peers::Forwarding::Unanswered => idempotency::Progress::Forwarded,
    };
    let remaining = request.remaining(state.clock.now());
    if let Some(disposition) = resolve::resolve(state, holder, key, fingerprint, remaining).await {
        return message::from_disposition(&disposition);
    }
    let refusal = exchange::Refusal::new(kind::ErrorKind::HomeUnreachable);
    Err(refusal.with_outcome(progress.outcome(attempt)))
}

fn not_forwarded(attempt: idempotency::Attempt) -> exchange::Refusal {
    let refusal = exchange::Refusal::new(kind::ErrorKind::HomeUnreachable);
    refusal.with_outcome(idempotency::Progress::NotForwarded.outcome(attempt))
}
