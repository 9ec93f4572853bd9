//! Token requests to the host that holds the share of an account's rate limit.

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

/// Time limit of a reply; a host of the same region takes a few milliseconds.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(30);
/// Times that a request is sent, as datagrams can be lost.
const MAX_TRIES: u32 = 2;

/// Token requests that wait for a reply.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    last: atomic::AtomicU64,
    waiting: sync::Mutex<collections::HashMap<u64, tokio::sync::oneshot::Sender<Grant>>>,
}

/// Reply of the holder of a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) enum Grant {
    /// One request may be sent.
    Token,
    /// No token is available for this many milliseconds.
    Over(u32),
}

/// Forgets a token request when it is dropped.
struct PendingReply<'a> {
    pending: &'a Pending,
    number: u64,
}

impl Drop for PendingReply<'_> {
    fn drop(&mut self) {
        self.pending.lock().remove(&self.number);
    }
}

impl Pending {
    /// Passes a reply to the request that waits for it; a late one is dropped.
    pub(crate) fn complete(&self, number: u64, grant: Grant) {
        let waiting = self.lock().remove(&number);
        if waiting.is_none_or(|waiting| waiting.send(grant).is_err()) {
            log::debug!(number, grant:? = grant; "token reply arrived too late; dropped");
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
/// Fails with the delay after which the caller may retry.
pub(crate) async fn request(
    state: &state::State,
    holder: net::SocketAddr,
    account: &name::Account,
) -> Result<(), time::Duration> {
    let pending = &state.pending_tokens;
    let number = pending.last.fetch_add(1, atomic::Ordering::Relaxed);
    let (sender, mut receiver) = tokio::sync::oneshot::channel();
    pending.lock().insert(number, sender);
    let _pending = PendingReply { pending, number };
    let account = traffic::digest(account.as_str());
    let message = message::Message::TokenRequest { number, account };
    for _try in 0..MAX_TRIES {
        reports::send_message(state, &message, &[holder]).await;
        match tokio::time::timeout(REPLY_TIMEOUT, &mut receiver).await {
            Ok(Ok(Grant::Token)) => return Ok(()),
            Ok(Ok(Grant::Over(millis))) => {
                return Err(time::Duration::from_millis(millis.into()));
            }
            Ok(Err(_dropped)) => break,
            Err(_elapsed) => {}
        }
    }
    state.metrics.record_unanswered();
    log::info!(holder:% = holder, account; "holder of the account's share did not answer; request rejected");
    Err(traffic::Quotas::UNANSWERED_DELAY)
}

/// Takes a token from a share that this host holds, or returns the delay until there is one.
pub(crate) fn grant(state: &state::State, account: u32) -> Grant {
    let now = state.clock.now();
    let mut cluster = state.cluster();
    match cluster
        .dispatcher_mut()
        .quotas_mut()
        .grant_token(account, now)
    {
        Ok(()) => Grant::Token,
        Err(pause) => Grant::Over(u32::try_from(pause.as_millis()).unwrap_or(u32::MAX)),
    }
}

/// Returns the token of a request that did not run.
pub(crate) async fn refund(state: &state::State, account: &name::Account) {
    let holder = state
        .cluster()
        .dispatcher_mut()
        .quotas_mut()
        .refund(account);
    if let Some(holder) = holder {
        let account = traffic::digest(account.as_str());
        let message = message::Message::TokenReturn { account };
        reports::send_message(state, &message, &[holder]).await;
    }
}
