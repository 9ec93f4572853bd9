//! Pull-based anti-entropy: polls peers for proofs of freshness, lists of hosts and newer records.

use std::collections;
use std::io;
use std::sync;
use std::time;

use skylark_core::record;
use skylark_core::unit;
use skylark_wire::peer;
use skylark_wire::rpc;
use tarpc::client;
use tarpc::context;

use super::state;

const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Polls each peer in a task of its own, so that a slow peer delays no other.
///
/// # Errors
///
/// Never fails: a peer that does not answer is polled again after the poll period.
pub async fn run(state: sync::Arc<state::State>) -> io::Result<()> {
    let mut tasks = tokio::task::JoinSet::new();
    let mut pollers = collections::BTreeMap::new();
    loop {
        let now = state.clock.now();
        let silence_timeout = state.settings.silence_timeout();
        let peers = state.with(|control| control.peers(silence_timeout, now));
        let addresses: Vec<record::Address> = peers.iter().map(|peer| peer.steer).collect();
        pollers.retain(|address, task: &mut tokio::task::AbortHandle| {
            let is_kept = addresses.contains(address) && !task.is_finished();
            if !is_kept {
                task.abort();
            }
            is_kept
        });
        for address in addresses {
            pollers.entry(address).or_insert_with(|| {
                let shared = sync::Arc::clone(&state);
                tasks.spawn(async move { poll_peer(&shared, address).await })
            });
        }
        while tasks.try_join_next().is_some() {}
        state.notify();
        tokio::time::sleep(state.settings.poll.get()).await;
    }
}

async fn poll_peer(state: &state::State, address: record::Address) {
    let mut client = None;
    loop {
        client = match poll_once(state, address, client).await {
            Ok(client) => Some(client),
            Err(error) => {
                log::debug!(peer:% = address, error:% = error; "peer could not be polled; retrying after the poll period");
                None
            }
        };
        tokio::time::sleep(state.settings.poll.get()).await;
    }
}

async fn poll_once(
    state: &state::State,
    address: record::Address,
    cached: Option<peer::PeerClient>,
) -> io::Result<peer::PeerClient> {
    let client = match cached {
        Some(client) => client,
        None => connect(address).await?,
    };
    let asked = state.clock.now();
    let request = state.peer_request();
    let reply = client.ask(call_context(), request).await;
    let reply = reply.map_err(io::Error::other)?;
    let now = state.clock.now();
    let version = state.with(|control| {
        control.on_reply(&reply, asked, now);
        control.config.version()
    });
    if reply.membership.version > version {
        let records = client.fetch(call_context(), version).await;
        apply_records(state, &records.map_err(io::Error::other)?)?;
    }
    Ok(client)
}

/// Connects to the control process of a peer.
///
/// # Errors
///
/// Fails when the peer does not accept the connection within `CALL_TIMEOUT`.
pub async fn connect(address: record::Address) -> io::Result<peer::PeerClient> {
    let transport = tokio::time::timeout(CALL_TIMEOUT, rpc::connect_compact(address)).await??;
    Ok(peer::PeerClient::new(client::Config::default(), transport).spawn())
}

/// Returns the context of one RPC to a peer, with its deadline.
pub fn call_context() -> context::Context {
    let mut context = context::current();
    context.deadline = time::Instant::now() + CALL_TIMEOUT;
    context
}

fn apply_records(state: &state::State, records: &peer::Records) -> io::Result<()> {
    match records {
        peer::Records::Changes(json) => {
            let changes: Vec<record::Change> = serde_json::from_slice(json)?;
            state.with(|control| control.apply(&changes));
        }
        peer::Records::Snapshot(version, json) => {
            let records: Vec<record::Document> = serde_json::from_slice(json)?;
            let version: unit::Version = *version;
            state.with(|control| control.replace(version, &records));
        }
    }
    state.notify();
    Ok(())
}
