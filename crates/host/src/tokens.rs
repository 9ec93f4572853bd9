//! Token requests to the host that holds the share of an account's rate limit.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use skylark_core::instant;
use skylark_core::name;
use skylark_core::traffic;

use super::charge;
use super::message;
use super::reports;
use super::state;

/// Time limit of a reply; a host of the same region takes a few milliseconds.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(30);
/// Times that a request is sent, as datagrams can be lost.
const MAX_TRIES: u32 = 2;
/// Hosts that are asked at most while a share changes hands.
const MAX_HOSTS: u32 = 3;
/// Time for which a question is remembered, so that a token that comes late is returned.
const MEMORY_TIME: time::Duration = time::Duration::from_secs(2);

/// Token requests whose replies may still arrive.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    last: atomic::AtomicU64,
    questions: sync::Mutex<collections::BTreeMap<u64, Question>>,
}

/// A request for a token.
#[derive(Debug)]
struct Question {
    /// Digest of the account's name.
    account: u32,
    asked_at: instant::Instant,
    /// Where the first reply goes.
    waiting: Option<tokio::sync::oneshot::Sender<Reply>>,
}

/// A reply as the request that waits for it gets it.
#[derive(Debug)]
enum Reply {
    Granted(charge::Charge),
    Over(time::Duration),
    Moved(net::SocketAddr),
}

/// Reply of the holder of a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) enum Grant {
    /// One request may be sent.
    Token,
    /// No token is available for this many milliseconds.
    Over(u32),
    /// The host with this control address holds the share.
    Moved(net::SocketAddr),
}

impl Pending {
    /// Adds a question; returns its number, and where the first reply arrives.
    fn ask(
        &self,
        account: u32,
        now: instant::Instant,
    ) -> (u64, tokio::sync::oneshot::Receiver<Reply>) {
        let number = self.last.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let question = Question {
            account,
            asked_at: now,
            waiting: Some(sender),
        };
        let mut questions = self.lock();
        questions.retain(|_number, question| now.since(question.asked_at) < MEMORY_TIME);
        questions.insert(number, question);
        (number, receiver)
    }

    /// Returns the account of a question, and who waits for the reply if it is the first one.
    fn answer(&self, number: u64) -> Option<(u32, Option<tokio::sync::oneshot::Sender<Reply>>)> {
        let mut questions = self.lock();
        let question = questions.get_mut(&number)?;
        Some((question.account, question.waiting.take()))
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<u64, Question>> {
        self.questions
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Passes a reply to the request that waits for it; a token that nobody waits for is returned.
pub(crate) fn complete(
    state: &sync::Arc<state::State>,
    from: net::SocketAddr,
    number: u64,
    grant: Grant,
) {
    let Some((account, waiting)) = state.pending_tokens.answer(number) else {
        log::debug!(number, grant:? = grant; "token reply to an unknown request; dropped");
        return;
    };
    let reply = match grant {
        Grant::Token => Reply::Granted(charge::Charge::granted(state, from, account)),
        Grant::Over(millis) => Reply::Over(time::Duration::from_millis(millis.into())),
        Grant::Moved(host) => Reply::Moved(host),
    };
    match waiting {
        Some(waiting) => drop(waiting.send(reply)),
        None => log::debug!(number, reply:? = grant; "token reply arrived too late; returned"),
    }
}

/// Asks the holder of an account's share for a token, also where the share has moved to another host.
///
/// # Errors
///
/// Fails with the delay after which the caller may retry.
pub(crate) async fn request(
    state: &state::State,
    holder: net::SocketAddr,
    account: &name::Account,
) -> Result<charge::Charge, time::Duration> {
    let account = traffic::digest(account.as_str());
    let mut asked = holder;
    for _host in 0..MAX_HOSTS {
        match ask(state, asked, account).await {
            Some(Reply::Granted(charge)) => return Ok(charge),
            Some(Reply::Over(delay)) => return Err(delay),
            Some(Reply::Moved(host)) => asked = host,
            None => break,
        }
    }
    state.metrics.record_unanswered();
    log::info!(holder:% = holder, asked:% = asked, account; "holder of the account's share did not answer; request rejected");
    Err(traffic::Quotas::UNANSWERED_DELAY)
}

/// Asks one host for a token; returns `None` if it does not answer.
async fn ask(state: &state::State, host: net::SocketAddr, account: u32) -> Option<Reply> {
    let (number, mut receiver) = state.pending_tokens.ask(account, state.clock.now());
    let message = message::Message::TokenRequest { number, account };
    for _try in 0..MAX_TRIES {
        reports::send_message(state, &message, &[host]).await;
        match tokio::time::timeout(REPLY_TIMEOUT, &mut receiver).await {
            Ok(reply) => return reply.ok(),
            Err(_elapsed) => {}
        }
    }
    None
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
        Err(traffic::TokenDenial::Over(delay)) => {
            Grant::Over(u32::try_from(delay.as_millis()).unwrap_or(u32::MAX))
        }
        Err(traffic::TokenDenial::Moved(host)) => Grant::Moved(host),
    }
}
