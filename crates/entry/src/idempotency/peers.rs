//! RPC client of the entry processes of other hosts: forwards requests and reports crashes.

use std::collections;
use std::sync;
use std::time;

use skylark_core::name;
use skylark_core::quarantine;
use skylark_core::record;
use skylark_wire::home;
use skylark_wire::rpc;
use tarpc::client;
use tarpc::context;

use crate::state;

/// Timeout for connecting to another entry process.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Time of which at most half, 1 second, is spent on waiting for a home to become known.
const MAX_DISCOVERY_BUDGET: time::Duration = time::Duration::from_secs(2);
/// Delay between two checks whether a home is known.
const DISCOVERY_POLL_PERIOD: time::Duration = time::Duration::from_millis(20);
/// Timeout for reporting a crash to another host.
const CRASH_REPORT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Connections to the entry processes of other hosts, by incarnation.
#[derive(Debug, Default)]
pub struct Peers {
    clients: sync::Mutex<collections::HashMap<name::Incarnation, Peer>>,
}

/// A connection to another entry process, with the task that drives it.
#[derive(Debug)]
struct Peer {
    client: home::HomeClient,
    task: tokio::task::JoinHandle<()>,
}

/// Result of forwarding a request to its home.
#[derive(Debug)]
pub enum Forwarding {
    /// Nothing was sent.
    NotSent,
    /// The request may have reached the home, but no reply arrived.
    Unanswered,
    /// The home replied.
    Replied(home::Reply),
}

/// Forwards a request to its home and waits for the reply.
pub async fn forward(
    state: &state::State,
    holder: &name::Incarnation,
    mut call: home::Request,
    timeout: time::Duration,
) -> Forwarding {
    let started = time::Instant::now();
    wait_until_known(state, holder, timeout.min(MAX_DISCOVERY_BUDGET) / 2).await;
    let timeout = timeout.saturating_sub(started.elapsed());
    let Some(client) = connect(state, holder, timeout.min(CONNECT_TIMEOUT)).await else {
        return Forwarding::NotSent;
    };
    call.remaining_micros = u64::try_from(timeout.as_micros()).unwrap_or(u64::MAX);
    let mut context = context::current();
    context.deadline = time::Instant::now() + timeout;
    if let Ok(reply) = client.begin(context, call).await {
        return Forwarding::Replied(reply);
    }
    state.peers.lock().remove(holder);
    Forwarding::Unanswered
}

/// Waits until a home is known: a look-up may name a host before this process learns of it.
async fn wait_until_known(
    state: &state::State,
    holder: &name::Incarnation,
    timeout: time::Duration,
) {
    let started = time::Instant::now();
    while address(state, holder).is_none() && started.elapsed() < timeout {
        tokio::time::sleep(DISCOVERY_POLL_PERIOD).await;
    }
}

/// Reports a crash of a target to every other known host, in the background.
pub fn broadcast_crash(state: &sync::Arc<state::State>, crash: &quarantine::Crash) {
    for host in state.view().hosts.iter() {
        if host.incarnation == state.incarnation {
            continue;
        }
        let state = sync::Arc::clone(state);
        let peer = host.incarnation.clone();
        let crash = crash.clone();
        tokio::spawn(async move { report_crash(&state, &peer, crash).await });
    }
}

async fn report_crash(state: &state::State, peer: &name::Incarnation, crash: quarantine::Crash) {
    let Some(client) = connect(state, peer, CONNECT_TIMEOUT).await else {
        return;
    };
    let mut context = context::current();
    context.deadline = time::Instant::now() + CRASH_REPORT_TIMEOUT;
    if let Err(error) = client.hear(context, crash).await {
        log::debug!(peer:% = peer, error:% = error; "a crash could not be reported to another host; closing the connection");
        state.peers.lock().remove(peer);
    }
}

async fn connect(
    state: &state::State,
    holder: &name::Incarnation,
    timeout: time::Duration,
) -> Option<home::HomeClient> {
    if let Some(client) = state.peers.open_client(holder) {
        return Some(client);
    }
    let address = address(state, holder)?;
    let connecting = tokio::time::timeout(timeout, rpc::connect_compact(address));
    let transport = connecting.await.ok()?.ok()?;
    let new_client = home::HomeClient::new(client::Config::default(), transport);
    let task = tokio::spawn(async move {
        let _closed = new_client.dispatch.await;
    });
    let client = new_client.client;
    let peer = Peer {
        client: client.clone(),
        task,
    };
    state.peers.lock().insert(holder.clone(), peer);
    Some(client)
}

fn address(state: &state::State, holder: &name::Incarnation) -> Option<record::Address> {
    let view = state.view();
    let host = view.hosts.iter().find(|host| host.incarnation == *holder)?;
    Some(host.ports.home)
}

impl Peers {
    /// Returns the client of a connection that is not known to be closed.
    fn open_client(&self, holder: &name::Incarnation) -> Option<home::HomeClient> {
        let peers = self.lock();
        let peer = peers.get(holder)?;
        (!peer.task.is_finished()).then(|| peer.client.clone())
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<name::Incarnation, Peer>> {
        self.clients
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
