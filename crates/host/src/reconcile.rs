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

/// Time between two checks whether the configuration was read.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time for the first read of the other hosts' addresses from the store.
const ADDRESSES_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Time limit of a question to another host.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Hosts that are asked at once.
const BATCH_SIZE: usize = 3;
/// Batches without any answer after which this host goes on alone.
const MAX_UNANSWERED: u32 = 2;
/// Time in which a newer configuration that another host has in force is asked for.
const MAX_TAKE_TIME: time::Duration = time::Duration::from_secs(3);
/// Delay after a host that has a newer configuration could not hand it on.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(80);
/// Delays of the further questions after a return, for hosts that were out of reach before.
const REPEAT_DELAYS: [time::Duration; 3] = [
    time::Duration::from_secs(1),
    time::Duration::from_secs(3),
    time::Duration::from_secs(10),
];

/// What the hosts of a batch answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// None has a newer configuration in force than this host.
    Settled,
    /// One has a newer configuration that could not be taken yet.
    Newer,
    Unanswered,
}

/// Compares this host's configuration with others', until the task is dropped.
///
/// The store may list an older configuration than the one that the other hosts have accepted, so
/// the first one from the store is put in force only after this.
pub(crate) async fn run(state: sync::Arc<state::State>) -> error::Result<()> {
    let client = http::Client::new(REQUEST_TIMEOUT);
    while state
        .cluster()
        .replica(store::Table::Config)
        .version()
        .is_zero()
    {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let listed = state.contacts.listed();
    if tokio::time::timeout(ADDRESSES_TIMEOUT, listed)
        .await
        .is_err()
    {
        log::warn!("other hosts' addresses not read from the store yet; asking the known ones");
    }
    loop {
        let epoch = state.store_epoch();
        settle(&client, &state).await;
        let now = state.clock.now();
        if state.cluster().confirm_config(now) {
            state.changed.notify_one();
            state.queue_changed.notify_one();
        }
        if epoch > 0 {
            tokio::select! {
                () = repeat(&client, &state) => {}
                () = state.newer_epoch(epoch) => {}
            }
        }
        state.newer_epoch(epoch).await;
    }
}

async fn repeat(client: &http::Client, state: &state::State) {
    for delay in REPEAT_DELAYS {
        tokio::time::sleep(delay).await;
        settle(client, state).await;
    }
}

/// Asks hosts until one has answered and no newer configuration is known, for a limited time.
async fn settle(client: &http::Client, state: &state::State) {
    let began = state.clock.now();
    let sources = sources(state);
    let mut unanswered = 0;
    for batch in sources.chunks(BATCH_SIZE).cycle() {
        match ask(client, state, batch).await {
            Outcome::Settled => return,
            Outcome::Newer => tokio::time::sleep(RETRY_DELAY).await,
            Outcome::Unanswered => unanswered += 1,
        }
        if unanswered >= MAX_UNANSWERED || state.clock.now().since(began) >= MAX_TAKE_TIME {
            log::warn!(asked = sources.len(); "no other host confirmed the configuration; going on with the own one");
            return;
        }
    }
}

/// Asks some hosts, and takes the newest configuration that one of them has in force.
async fn ask(client: &http::Client, state: &state::State, batch: &[net::SocketAddr]) -> Outcome {
    let none = traffic::Position::MAX;
    let questions = batch
        .iter()
        .map(|source| pull::request(client, *source, none, none));
    let answers = futures::future::join_all(questions).await;
    let mut outcome = Outcome::Unanswered;
    for (answer, source) in answers.into_iter().zip(batch) {
        let Ok(pull::Answer::Changes {
            in_force: version, ..
        }) = answer
        else {
            continue;
        };
        if version <= state.cluster().config_version() || take(client, state, *source).await {
            if outcome == Outcome::Unanswered {
                outcome = Outcome::Settled;
            }
        } else {
            outcome = Outcome::Newer;
        }
    }
    outcome
}

/// Takes another host's configuration; returns whether it is not newer than the own one any more.
async fn take(client: &http::Client, state: &state::State, source: net::SocketAddr) -> bool {
    let (all, none) = (traffic::Position::ZERO, traffic::Position::MAX);
    match pull::request(client, source, all, none).await {
        Ok(pull::Answer::Changes {
            delta,
            in_force: version,
            ..
        }) => {
            let now = state.clock.now();
            let is_taken = state.cluster().offer_config(&delta.config, now);
            log::info!(source:% = source, version:? = version, taken = is_taken; "configuration in force at another host read");
            state.queue_changed.notify_one();
            version <= state.cluster().config_version()
        }
        Ok(pull::Answer::Busy) => false,
        Err(error) => {
            log::info!(source:% = source, error:% = error; "request for the configuration in force failed; retrying");
            false
        }
    }
}

/// Returns the other hosts in the order in which they are asked: live ones with a configuration
/// first, those of the own zone before all.
fn sources(state: &state::State) -> Vec<net::SocketAddr> {
    let now = state.clock.now();
    let cluster = state.cluster();
    let live: Vec<&traffic::Member> = cluster.dispatcher().fleet().live(now).collect();
    let rank = |address: &net::SocketAddr| {
        let member = live
            .iter()
            .find(|member| member.control_address == *address && !member.versions.config.is_zero());
        match member {
            Some(member) if member.zone == state.identity.zone => 0,
            Some(_) => 1,
            None => 2,
        }
    };
    // Hosts that start together do not all ask the same ones.
    let own = traffic::digest(state.identity.host.as_str());
    let mut sources = state.contacts.all();
    sources.sort_by_cached_key(|address| {
        (
            rank(address),
            traffic::digest(&address.to_string()).rotate_left(own % u32::BITS),
        )
    });
    sources
}
