//! Running requests whose home, or claim, is here.

use std::sync;

use skylark_core::idempotency;
use skylark_core::kind;
use skylark_core::name;

use super::message;
use super::resolve;
use crate::exchange;
use crate::pipeline;
use crate::state;

/// Runs a request whose home is here, or tells its outcome.
///
/// # Errors
///
/// Refuses what the ledger does not let start.
pub async fn begin(
    state: &sync::Arc<state::State>,
    account: Option<name::Account>,
    key: idempotency::Key,
    request: exchange::Request,
) -> exchange::Result<exchange::Response> {
    let print = message::fingerprint(account.as_ref(), &request);
    let begin = state.ledger.begin(state.clock.now(), &key, print);
    act(state, account, key, request, begin).await
}

/// Runs a request whose claim in the table this process holds.
///
/// # Errors
///
/// Refuses what the ledger does not let start.
pub async fn begin_claimed(
    state: &sync::Arc<state::State>,
    account: Option<name::Account>,
    key: idempotency::Key,
    request: exchange::Request,
) -> exchange::Result<exchange::Response> {
    let print = message::fingerprint(account.as_ref(), &request);
    let begin = state.ledger.begin_claimed(state.clock.now(), &key, print);
    act(state, account, key, request, begin).await
}

async fn act(
    state: &sync::Arc<state::State>,
    account: Option<name::Account>,
    key: idempotency::Key,
    request: exchange::Request,
    begin: idempotency::Disposition,
) -> exchange::Result<exchange::Response> {
    match begin {
        idempotency::Disposition::Start(permit) => start(state, account, permit, request).await,
        idempotency::Disposition::Running => wait(state, account.as_ref(), &key, &request).await,
        idempotency::Disposition::Evicted => {
            let print = message::fingerprint(account.as_ref(), &request);
            let limit = request.remaining(state.clock.now());
            let known = resolve::resolve(state, &state.incarnation, &key, print, limit).await;
            message::outcome(&known.unwrap_or(begin))
        }
        other => message::outcome(&other),
    }
}

/// Runs the request in a task of its own, which goes on when its caller goes away.
async fn start(
    state: &sync::Arc<state::State>,
    account: Option<name::Account>,
    permit: idempotency::Permit,
    request: exchange::Request,
) -> exchange::Result<exchange::Response> {
    let state = sync::Arc::clone(state);
    let task = tokio::spawn(async move {
        let result = pipeline::run_started(&state, account.as_ref(), &request).await;
        state.ledger.finish(permit, fate(&result));
        result
    });
    let lost = exchange::Refusal::new(kind::ErrorKind::TargetFailed);
    task.await.unwrap_or(Err(lost))
}

/// Waits for the outcome of a request that runs.
async fn wait(
    state: &state::State,
    account: Option<&name::Account>,
    key: &idempotency::Key,
    request: &exchange::Request,
) -> exchange::Result<exchange::Response> {
    if let Some(mut waiter) = state.ledger.waiter(key.id()) {
        let left = request.remaining(state.clock.now());
        let _ended = tokio::time::timeout(left, waiter.changed()).await;
    }
    let print = message::fingerprint(account, request);
    message::outcome(&state.ledger.begin(state.clock.now(), key, print))
}

fn fate(result: &exchange::Result<exchange::Response>) -> idempotency::FinalState {
    match result {
        Ok(answer) => idempotency::FinalState::Answered(sync::Arc::new(message::kept(answer))),
        Err(refusal) => match refusal.outcome {
            kind::Outcome::NotRun => idempotency::FinalState::Refused(refusal.kind),
            kind::Outcome::Unknown => idempotency::FinalState::Lost,
        },
    }
}
