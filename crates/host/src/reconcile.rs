//! Asks other hosts which configuration they have in force, at the start and whenever the store
//! has returned from an older copy.

use std::net;
use std::sync;
use std::time;

use skylark_core::traffic;
use skylark_platform::store;
use skylark_wire::http;

use super::error;
use super::pull;
use super::state;

/// Time for the first read of the other hosts' addresses from the store.
const ADDRESSES_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Time limit of a question to another host.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Hosts that are asked, so that one that is down or just starting does not matter.
const MAX_SOURCES: usize = 3;

/// Compares this host's configuration with others', until the task is dropped.
///
/// The store may list an older configuration than the one that the other hosts have accepted, so
/// the first one from the store is put in force only after this.
pub(crate) async fn run(state: sync::Arc<state::State>) -> error::Result<()> {
    let client = http::Client::new(REQUEST_TIMEOUT);
    let listed = state.contacts.listed();
    let _elapsed = tokio::time::timeout(ADDRESSES_TIMEOUT, listed)
        .await
        .is_err();
    loop {
        let epoch = state.store_epoch();
        ask(&client, &state).await;
        let now = state.clock.now();
        if state.cluster().confirm_config(now) {
            state.changed.notify_one();
            state.queue_changed.notify_one();
        }
        state.newer_epoch(epoch).await;
    }
}

/// Asks some hosts, and takes the newest configuration that one of them has in force.
async fn ask(client: &http::Client, state: &state::State) {
    let sources = sources(state);
    let questions = sources.iter().map(|source| {
        pull::request(
            client,
            *source,
            traffic::Position::MAX,
            traffic::Position::MAX,
        )
    });
    let answers = futures::future::join_all(questions).await;
    let versions = answers.into_iter().map(|answer| match answer {
        Ok(pull::Answer::Changes(_delta, version)) => version,
        Ok(pull::Answer::Busy) | Err(_) => None,
    });
    let newest = versions
        .zip(&sources)
        .max_by_key(|(version, _source)| *version);
    let Some((Some(version), source)) = newest else {
        return;
    };
    if state.cluster().config_version() >= Some(version) {
        return;
    }
    let none = traffic::Position::ZERO;
    match pull::request(client, *source, none, traffic::Position::MAX).await {
        Ok(pull::Answer::Changes(delta, _version)) => {
            let now = state.clock.now();
            let is_taken = state.cluster().offer_config(&delta.config, now);
            log::info!(source:% = source, version, in_force = is_taken; "configuration taken from another host");
        }
        Ok(pull::Answer::Busy) => {}
        Err(error) => {
            log::warn!(source:% = source, table = store::Table::Config.as_str(), error:% = error; "request for the configuration in force failed; going on without it");
        }
    }
}

/// Returns the hosts to ask: live ones, those of the own zone first, or else any that are known.
fn sources(state: &state::State) -> Vec<net::SocketAddr> {
    let now = state.clock.now();
    let cluster = state.cluster();
    let live = cluster.dispatcher().fleet().live(now);
    let (mut sources, far): (Vec<&traffic::Member>, Vec<&traffic::Member>) =
        live.partition(|member| member.zone == state.identity.zone);
    sources.extend(far);
    let mut sources: Vec<net::SocketAddr> = sources
        .into_iter()
        .map(|member| member.control_address)
        .collect();
    let own = traffic::digest(state.identity.host.as_str());
    let mut others = state.contacts.all();
    // Hosts that start together do not all ask the same ones.
    others.sort_by_key(|address| traffic::digest(&address.to_string()) ^ own);
    others.retain(|address| !sources.contains(address));
    sources.extend(others);
    sources.truncate(MAX_SOURCES);
    sources
}
