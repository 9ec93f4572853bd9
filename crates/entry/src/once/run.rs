//! Running requests whose home, or claim, is here.

use std::sync;

use skylark_core::idempotency;
use skylark_core::kind;
use skylark_core::name;

use super::message;
use super::recall;
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
) -> exchange::Result<exchange::Answer> {
    let print = message::print(account.as_ref(), &request);
    let begin = state.book.begin(state.clock.now(), &key, print);
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
) -> exchange::Result<exchange::Answer> {
    let print = message::print(account.as_ref(), &request);
    let begin = state.book.begin_claimed(state.clock.now(), &key, print);
    act(state, account, key, request, begin).await
}

async fn act(
    state: &sync::Arc<state::State>,
    account: Option<name::Account>,
    key: idempotency::Key,
    request: exchange::Request,
    begin: idempotency::Disposition,
) -> exchange::Result<exchange::Answer> {
    match begin {
        idempotency::Disposition::Start(permit) => start(state, account, permit, request).await,
        idempotency::Disposition::Running => wait(state, account.as_ref(), &key, &request).await,
        idempotency::Disposition::Evicted => {
            let print = message::print(account.as_ref(), &request);
            let limit = request.left(state.clock.now());
            let known = recall::recall(state, &state.incarnation, &key, print, limit).await;
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
) -> exchange::Result<exchange::Answer> {
    let state = sync::Arc::clone(state);
    let task = tokio::spawn(async move {
        let result = pipeline::run_started(&state, account.as_ref(), &request).await;
        state.book.finish(permit, fate(&result));
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
) -> exchange::Result<exchange::Answer> {
    if let Some(mut waiter) = state.book.waiter(key.id()) {
        let left = request.left(state.clock.now());
        let _ended = tokio::time::timeout(left, waiter.changed()).await;
    }
    let print = message::print(account, request);
    message::outcome(&state.book.begin(state.clock.now(), key, print))
}

fn fate(result: &exchange::Result<exchange::Answer>) -> idempotency::FinalState {
    match result {
        Ok(answer) => idempotency::FinalState::Answered(sync::Arc::new(message::kept(answer))),
        Err(refusal) => match refusal.outcome {
            kind::Outcome::NotRun => idempotency::FinalState::Refused(refusal.kind),
            kind::Outcome::Unknown => idempotency::FinalState::Lost,
        },
    }
}
