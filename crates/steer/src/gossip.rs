//! Asking peers how fresh they are, and taking news from them.

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

const CALL_LIMIT: time::Duration = time::Duration::from_secs(1);

/// Asks each peer in a task of its own, so that none waits for a slow one.
///
/// # Errors
///
/// Never fails: a peer that does not answer is asked again after the pause.
pub async fn run(state: sync::Arc<state::State>) -> io::Result<()> {
    let mut tasks = tokio::task::JoinSet::new();
    let mut asked = collections::BTreeMap::new();
    loop {
        let now = state.clock.now();
        let patience = state.settings.patience();
        let members = state.with(|known| known.peers(patience, now));
        let wanted: Vec<record::Address> = members.iter().map(|m| m.steer).collect();
        asked.retain(|address, task: &mut tokio::task::AbortHandle| {
            let is_kept = wanted.contains(address) && !task.is_finished();
            if !is_kept {
                task.abort();
            }
            is_kept
        });
        for address in wanted {
            asked.entry(address).or_insert_with(|| {
                let shared = sync::Arc::clone(&state);
                tasks.spawn(async move { keep_asking(&shared, address).await })
            });
        }
        while tasks.try_join_next().is_some() {}
        state.tell();
        tokio::time::sleep(state.settings.poll.get()).await;
    }
}

async fn keep_asking(state: &state::State, address: record::Address) {
    let mut client = None;
    loop {
        client = match ask(state, address, client).await {
            Ok(client) => Some(client),
            Err(error) => {
                log::debug!(peer:% = address, error:% = error; "peer not asked");
                None
            }
        };
        tokio::time::sleep(state.settings.poll.get()).await;
    }
}

async fn ask(
    state: &state::State,
    address: record::Address,
    known: Option<peer::PeerClient>,
) -> io::Result<peer::PeerClient> {
    let client = match known {
        Some(client) => client,
        None => connect(address).await?,
    };
    let asked = state.clock.now();
    let question = state.question();
    let reply = client.ask(context(), question).await;
    let reply = reply.map_err(io::Error::other)?;
    let now = state.clock.now();
    let version = state.with(|known| {
        known.hear(&reply, asked, now);
        known.config.version()
    });
    if reply.membership.version > version {
        let records = client.fetch(context(), version).await;
        take(state, &records.map_err(io::Error::other)?)?;
    }
    Ok(client)
}

/// Connects to a peer.
///
/// # Errors
///
/// Fails when the peer does not take the connection in time.
pub async fn connect(address: record::Address) -> io::Result<peer::PeerClient> {
    let transport = tokio::time::timeout(CALL_LIMIT, rpc::connect_compact(address)).await??;
    Ok(peer::PeerClient::new(client::Config::default(), transport).spawn())
}

/// Returns the terms of one call to a peer.
pub fn context() -> context::Context {
    let mut context = context::current();
    context.deadline = time::Instant::now() + CALL_LIMIT;
    context
}

fn take(state: &state::State, records: &peer::Records) -> io::Result<()> {
    match records {
        peer::Records::Changes(json) => {
            let changes: Vec<record::Change> = serde_json::from_slice(json)?;
            state.with(|known| known.apply(&changes));
        }
        peer::Records::Snapshot(version, json) => {
            let records: Vec<record::Document> = serde_json::from_slice(json)?;
            let version: unit::Version = *version;
            state.with(|known| known.replace(version, &records));
        }
    }
    state.tell();
    Ok(())
}
