//! Asking the owner of the budgets for tokens.

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

/// Longest pause between two looks at whether an ask is due.
const STEP: time::Duration = time::Duration::from_millis(20);
/// Shortest pause between two asks.
const GAP: time::Duration = time::Duration::from_millis(5);

/// A connection to a control process, which is or knows the owner.
struct Link {
    address: record::Address,
    client: peer::PeerClient,
}

/// Asks whenever an ask is due, until the task is dropped.
///
/// # Errors
///
/// Never fails: a control process that cannot be asked is replaced by the host's own.
pub async fn run(state: sync::Arc<state::State>) -> io::Result<()> {
    let mut link = None;
    loop {
        let now = state.clock.now();
        if let Some(ask) = state.rate_limiter.with(|held| held.holder.poll(now)) {
            link = match exchange(&state, link, ask).await {
                Ok(next) => next,
                Err(error) => {
                    log::debug!(error:% = error; "owner of budgets not reached");
                    None
                }
            };
        }
        let _woken = tokio::time::timeout(STEP, state.rate_limiter.short.notified()).await;
        tokio::time::sleep(GAP).await;
    }
}

async fn exchange(
    state: &state::State,
    link: Option<Link>,
    ask: budget::Request,
) -> io::Result<Option<Link>> {
    let limit = budget::Timing::default().ask_timeout;
    let link = match link {
        Some(link) => link,
        None => match own(state) {
            Some(address) => connect(address, limit).await?,
            None => return Ok(None),
        },
    };
    let mut context = context::current();
    context.deadline = time::Instant::now() + limit;
    let lent = link.client.lend(context, ask).await;
    match lent.map_err(io::Error::other)? {
        grant::Lent::Answered(answer) => {
            state.rate_limiter.bank(&answer, state.clock.now());
            Ok(Some(link))
        }
        grant::Lent::Elsewhere(address) if address != link.address => {
            connect(address, limit).await.map(Some)
        }
        grant::Lent::Elsewhere(_) | grant::Lent::Nothing => Ok(None),
    }
}

/// Returns the address of this host's own control process, once it is known.
fn own(state: &state::State) -> Option<record::Address> {
    let view = state.view();
    let mut hosts = view.hosts.iter();
    let host = hosts.find(|host| host.incarnation == state.incarnation)?;
    Some(host.ports.steer)
}

async fn connect(address: record::Address, limit: time::Duration) -> io::Result<Link> {
    let connecting = tokio::time::timeout(limit, rpc::connect_compact(address));
    let transport = connecting.await??;
    let client = peer::PeerClient::new(client::Config::default(), transport).spawn();
    Ok(Link { address, client })
}
