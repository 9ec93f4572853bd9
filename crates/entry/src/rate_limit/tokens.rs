//! Client of the owner of the budgets, which borrows tokens from it.

use std::io;
use std::sync;
use std::time;

use skylark_core::budget;
use skylark_core::record;
use skylark_wire::grant;
use skylark_wire::peer;
use skylark_wire::rpc;
use tarpc::client;
use tarpc::context;

use crate::state;

/// Longest delay between two checks whether a request for tokens is due.
const MAX_POLL_PERIOD: time::Duration = time::Duration::from_millis(20);
/// Shortest delay between two requests for tokens.
const MIN_REQUEST_DELAY: time::Duration = time::Duration::from_millis(5);

/// A connection to a control process, which is the owner or can name it.
struct Link {
    address: record::Address,
    client: peer::PeerClient,
}

/// Requests tokens whenever a request is due, until the task is dropped.
///
/// # Errors
///
/// Never fails: after an error it connects to this host's own control process again.
pub async fn run(state: sync::Arc<state::State>) -> io::Result<()> {
    let mut link = None;
    loop {
        let now = state.clock.now();
        if let Some(request) = state.rate_limiter.with(|inner| inner.limiter.poll(now)) {
            link = match exchange(&state, link, request).await {
                Ok(next) => next,
                Err(error) => {
                    log::debug!(error:% = error; "the owner of the budgets could not be reached; retrying through this host's control process");
                    None
                }
            };
        }
        let _woken =
            tokio::time::timeout(MAX_POLL_PERIOD, state.rate_limiter.demand.notified()).await;
        tokio::time::sleep(MIN_REQUEST_DELAY).await;
    }
}

async fn exchange(
    state: &state::State,
    link: Option<Link>,
    request: budget::Request,
) -> io::Result<Option<Link>> {
    let timeout = budget::Timing::default().ask_timeout;
    let link = match link {
        Some(link) => link,
        None => match own_control(state) {
            Some(address) => connect(address, timeout).await?,
            None => return Ok(None),
        },
    };
    let mut context = context::current();
    context.deadline = time::Instant::now() + timeout;
    let reply = link.client.lend(context, request).await;
    match reply.map_err(io::Error::other)? {
        grant::Reply::Answered(reply) => {
            state.rate_limiter.apply_reply(&reply, state.clock.now());
            Ok(Some(link))
        }
        grant::Reply::Redirect(address) if address != link.address => {
            connect(address, timeout).await.map(Some)
        }
        grant::Reply::Redirect(_) | grant::Reply::Unanswered => Ok(None),
    }
}

/// Returns the address of this host's own control process; none until it is known.
fn own_control(state: &state::State) -> Option<record::Address> {
    let view = state.view();
    let mut hosts = view.hosts.iter();
    let host = hosts.find(|host| host.incarnation == state.incarnation)?;
    Some(host.ports.steer)
}

async fn connect(address: record::Address, timeout: time::Duration) -> io::Result<Link> {
    let connecting = tokio::time::timeout(timeout, rpc::connect_compact(address));
    let transport = connecting.await??;
    let client = peer::PeerClient::new(client::Config::default(), transport).spawn();
    Ok(Link { address, client })
}
