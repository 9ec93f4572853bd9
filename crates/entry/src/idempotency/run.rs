//! Home side: runs each request whose home or claim is this process at most once.

use std::sync;

use skylark_core::idempotency;
use skylark_core::kind;
use skylark_core::name;

use super::message;
use super::resolve;
use crate::exchange;
use crate::pipeline;
use crate::state;

/// Runs a request whose home is this process, or returns its outcome if it has run.
///
/// # Errors
///
/// Refuses a request that the ledger does not permit to start.
pub async fn begin(
    state: &sync::Arc<state::State>,
    account: Option<name::Account>,
    key: idempotency::Key,
    request: exchange::Request,
) -> exchange::Result<exchange::Response> {
    let fingerprint = message::fingerprint(account.as_ref(), &request);
    let disposition = state.ledger.begin(state.clock.now(), &key, fingerprint);
    apply(state, account, key, request, disposition).await
}

/// Runs a request whose key this process has claimed in the table.
///
/// # Errors
///
/// Refuses a request that the ledger does not permit to start.
pub async fn begin_claimed(
    state: &sync::Arc<state::State>,
    account: Option<name::Account>,
    key: idempotency::Key,
    request: exchange::Request,
) -> exchange::Result<exchange::Response> {
    let fingerprint = message::fingerprint(account.as_ref(), &request);
    let disposition = state
        .ledger
        .begin_claimed(state.clock.now(), &key, fingerprint);
    apply(state, account, key, request, disposition).await
}

async fn apply(
    state: &sync::Arc<state::State>,
    account: Option<name::Account>,
    key: idempotency::Key,
    request: exchange::Request,
    disposition: idempotency::Disposition,
) -> exchange::Result<exchange::Response> {
    match disposition {
        idempotency::Disposition::Start(permit) => start(state, account, permit, request).await,
        idempotency::Disposition::Running => {
            wait_for_outcome(state, account.as_ref(), &key, &request).await
        }
        idempotency::Disposition::Evicted => {
            let fingerprint = message::fingerprint(account.as_ref(), &request);
            let timeout = request.remaining(state.clock.now());
            let resolved =
                resolve::resolve(state, &state.incarnation, &key, fingerprint, timeout).await;
            message::from_disposition(&resolved.unwrap_or(disposition))
        }
        other => message::from_disposition(&other),
    }
}

/// Runs a request in a separate task, which continues if the caller disconnects.
async fn start(
    state: &sync::Arc<state::State>,
    account: Option<name::Account>,
    permit: idempotency::Permit,
    request: exchange::Request,
) -> exchange::Result<exchange::Response> {
    let state = sync::Arc::clone(state);
    let task = tokio::spawn(async move {
        let result = pipeline::run_started(&state, account.as_ref(), &request).await;
        state.ledger.finish(permit, final_state(&result));
        result
    });
    let failed = exchange::Refusal::new(kind::ErrorKind::TargetFailed);
    task.await.unwrap_or(Err(failed))
}

/// Waits for the outcome of a running request with the same key.
async fn wait_for_outcome(
    state: &state::State,
    account: Option<&name::Account>,
    key: &idempotency::Key,
    request: &exchange::Request,
) -> exchange::Result<exchange::Response> {
    if let Some(mut receiver) = state.ledger.subscribe(key.id()) {
        let remaining = request.remaining(state.clock.now());
        let _ended = tokio::time::timeout(remaining, receiver.changed()).await;
    }
    let fingerprint = message::fingerprint(account, request);
    message::from_disposition(&state.ledger.begin(state.clock.now(), key, fingerprint))
}

fn final_state(result: &exchange::Result<exchange::Response>) -> idempotency::FinalState {
    match result {
        Ok(response) => {
            idempotency::FinalState::Answered(sync::Arc::new(message::to_stored(response)))
        }
        Err(refusal) => match refusal.outcome {
            kind::Outcome::NotRun => idempotency::FinalState::Refused(refusal.kind),
            kind::Outcome::Unknown => idempotency::FinalState::Lost,
        },
    }
}
