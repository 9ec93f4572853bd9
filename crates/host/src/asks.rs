//! Asks another host for a token of an account whose share it holds.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use skylark_core::name;
use skylark_core::traffic;

use super::message;
use super::reports;
use super::state;

/// Time for an answer; a host of the same region takes a few milliseconds.
const ANSWER_TIME: time::Duration = time::Duration::from_millis(30);
/// Times that a question is sent, as datagrams can be lost.
const TRIES: u32 = 2;

/// Questions that wait for their answer.
#[derive(Debug, Default)]
pub(crate) struct Asks {
    last: atomic::AtomicU64,
    waiting: sync::Mutex<collections::HashMap<u64, tokio::sync::oneshot::Sender<Grant>>>,
}

/// What the holder of a share answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) enum Grant {
    /// One request may be sent.
    Token,
    /// There is no token before a pause in milliseconds.
    Over(u32),
}

/// A question that is forgotten when it is dropped.
struct Waiting<'a> {
    asks: &'a Asks,
    number: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.asks.lock().remove(&self.number);
    }
}

impl Asks {
    /// Hands an answer to the request that waits for it; one that comes late is dropped.
    pub(crate) fn answer(&self, number: u64, grant: Grant) {
        let waiting = self.lock().remove(&number);
        if waiting.is_none_or(|waiting| waiting.send(grant).is_err()) {
            log::debug!(number, grant:? = grant; "token came too late");
        }
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<u64, tokio::sync::oneshot::Sender<Grant>>> {
        self.waiting
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Asks the holder of an account's share for a token.
///
/// # Errors
///
/// Fails with the pause after which the caller may come back.
pub(crate) async fn ask(
    state: &state::State,
    holder: net::SocketAddr,
    account: &name::Account,
) -> Result<(), time::Duration> {
    let asks = &state.asks;
    let number = asks.last.fetch_add(1, atomic::Ordering::Relaxed);
    let (sender, mut receiver) = tokio::sync::oneshot::channel();
    asks.lock().insert(number, sender);
    let _waiting = Waiting { asks, number };
    let account = traffic::digest(account.as_str());
    let message = message::Message::Ask { number, account };
    for _try in 0..TRIES {
        reports::post(state, &message, &[holder]).await;
        match tokio::time::timeout(ANSWER_TIME, &mut receiver).await {
            Ok(Ok(Grant::Token)) => return Ok(()),
            Ok(Ok(Grant::Over(millis))) => {
                return Err(time::Duration::from_millis(millis.into()));
            }
            Ok(Err(_dropped)) => break,
            Err(_elapsed) => {}
        }
    }
    state.metrics.unheard_ask();
    log::info!(holder:% = holder, account; "holder of an account's share did not answer");
    Err(traffic::Quotas::UNANSWERED_DELAY)
}

/// Gives a token of a share that this host holds, or says when one may be there.
pub(crate) fn grant(state: &state::State, account: u32) -> Grant {
    let now = state.clock.now();
    let mut known = state.knowledge();
    match known
        .dispatcher_mut()
        .quotas_mut()
        .grant_token(account, now)
    {
        Ok(()) => Grant::Token,
        Err(pause) => Grant::Over(u32::try_from(pause.as_millis()).unwrap_or(u32::MAX)),
    }
}

/// Gives back the token of a request that did not run.
pub(crate) async fn refund(state: &state::State, account: &name::Account) {
    let holder = state
        .knowledge()
        .dispatcher_mut()
        .quotas_mut()
        .refund(account);
    if let Some(holder) = holder {
        let account = traffic::digest(account.as_str());
        let message = message::Message::Refund { account };
        reports::post(state, &message, &[holder]).await;
    }
}
