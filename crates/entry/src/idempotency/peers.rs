//! Connections to the entry processes of other hosts.

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

const CONNECT_LIMIT: time::Duration = time::Duration::from_millis(500);
const UNKNOWN_LIMIT: time::Duration = time::Duration::from_secs(2);
const KNOWN_PAUSE: time::Duration = time::Duration::from_millis(20);
const NEWS_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Connections to the entry processes of other hosts, by their life.
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

/// How far a call to a home got.
#[derive(Debug)]
pub enum Forwarding {
    /// Nothing was sent.
    No,
    /// The request may have reached the home, whose word did not arrive.
    Lost,
    /// The home's word.
    Told(home::Reply),
}

/// Passes a request to its home and waits for the home's word.
pub async fn pass(
    state: &state::State,
    holder: &name::Incarnation,
    mut call: home::Call,
    limit: time::Duration,
) -> Forwarding {
    let begun = time::Instant::now();
    await_known(state, holder, limit.min(UNKNOWN_LIMIT) / 2).await;
    let limit = limit.saturating_sub(begun.elapsed());
    let Some(client) = connected(state, holder, limit.min(CONNECT_LIMIT)).await else {
        return Forwarding::No;
    };
    call.left_micros = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX);
    let mut context = context::current();
    context.deadline = time::Instant::now() + limit;
    if let Ok(reply) = client.begin(context, call).await {
        return Forwarding::Told(reply);
    }
    state.peers.lock().remove(holder);
    Forwarding::Lost
}

/// Waits until a home is known: look-ups may name a new one before this process hears of it.
async fn await_known(state: &state::State, holder: &name::Incarnation, limit: time::Duration) {
    let begun = time::Instant::now();
    while address(state, holder).is_none() && begun.elapsed() < limit {
        tokio::time::sleep(KNOWN_PAUSE).await;
    }
}

/// Tells every other known host of a target that died.
pub fn broadcast_crash(state: &sync::Arc<state::State>, death: &quarantine::Crash) {
    for host in state.view().hosts.iter() {
        if host.incarnation == state.incarnation {
            continue;
        }
        let state = sync::Arc::clone(state);
        let peer = host.incarnation.clone();
        let death = death.clone();
        tokio::spawn(async move { tell(&state, &peer, death).await });
    }
}

async fn tell(state: &state::State, peer: &name::Incarnation, death: quarantine::Crash) {
    let Some(client) = connected(state, peer, CONNECT_LIMIT).await else {
        return;
    };
    let mut context = context::current();
    context.deadline = time::Instant::now() + NEWS_LIMIT;
    if let Err(error) = client.hear(context, death).await {
        log::debug!(peer:% = peer, error:% = error; "news not heard");
        state.peers.lock().remove(peer);
    }
}

async fn connected(
    state: &state::State,
    holder: &name::Incarnation,
    limit: time::Duration,
) -> Option<home::HomeClient> {
    if let Some(client) = state.peers.open(holder) {
        return Some(client);
    }
    let address = address(state, holder)?;
    let connecting = tokio::time::timeout(limit, rpc::connect_compact(address));
    let transport = connecting.await.ok()?.ok()?;
    let opened = home::HomeClient::new(client::Config::default(), transport);
    let task = tokio::spawn(async move {
        let _closed = opened.dispatch.await;
    });
    let client = opened.client;
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
    fn open(&self, holder: &name::Incarnation) -> Option<home::HomeClient> {
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
