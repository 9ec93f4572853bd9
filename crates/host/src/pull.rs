//! Anti-entropy between hosts: a host pulls the table changes that it lacks from another host.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use futures::StreamExt as _;
use futures::stream;
use skylark_core::traffic;
use skylark_platform::store;
use skylark_wire::http;

use super::cluster;
use super::error;
use super::peers;
use super::state;

/// Time limit of a request to another host.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Time without an answer after which a further host is asked beside the silent one.
const FURTHER_DELAY: time::Duration = time::Duration::from_millis(200);
/// Hosts that are asked for one table at once at most.
const MAX_ASKED: usize = 3;
/// Delay after a response, so that several changes come with the next one.
const BATCH_DELAY: time::Duration = time::Duration::from_millis(60);
/// Delay after a failed request.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);
/// Delay after a host had no room for one more answer; others get the changes meanwhile.
const BUSY_DELAY: time::Duration = time::Duration::from_millis(80);

/// Result of a question for table changes.
pub(crate) type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Wakes the tasks that pull changes, one for each table.
///
/// Each table is pulled by itself, so that drained targets do not wait behind a large
/// configuration.
#[derive(Debug, Default)]
pub(crate) struct Signals {
    config: tokio::sync::Notify,
    targets: tokio::sync::Notify,
}

impl Signals {
    /// Wakes both tasks.
    pub(crate) fn notify(&self) {
        self.config.notify_one();
        self.targets.notify_one();
    }

    const fn of(&self, table: store::Table) -> &tokio::sync::Notify {
        match table {
            store::Table::Targets => &self.targets,
            store::Table::Config | store::Table::Hosts => &self.config,
        }
    }
}

/// The answer of another host.
pub(crate) enum Answer {
    /// The changes.
    Changes {
        delta: peers::Delta,
        /// Version of the configuration that the host has in force, if any.
        in_force: Option<u64>,
        /// Whether the host was not suspended itself just before.
        is_current: bool,
    },
    /// The host has no room for one more answer.
    Busy,
}

/// Pulls changes of a table whenever another host has newer ones, until the task is dropped.
pub(crate) async fn run(table: store::Table, state: sync::Arc<state::State>) -> error::Result<()> {
    let client = http::Client::new(REQUEST_TIMEOUT);
    let signal = state.pulls.of(table);
    let mut choice = traffic::SourceChoice::new(traffic::digest(state.identity.host.as_str()));
    loop {
        signal.notified().await;
        let asked_at = state.clock.now();
        let delay = match ask(&client, &mut choice, table, &state).await {
            Some((
                source,
                Answer::Changes {
                    delta, is_current, ..
                },
            )) => {
                let is_evidence = apply(table, &state, source, delta) && is_current;
                if is_evidence {
                    state.record_evidence(table, asked_at);
                }
                if is_evidence || !state.is_catching_up() {
                    tokio::time::sleep(BATCH_DELAY).await;
                    continue;
                }
                BUSY_DELAY
            }
            Some((_source, Answer::Busy)) => {
                state.metrics.record_busy_pull();
                BUSY_DELAY
            }
            None => match sources(table, &state) {
                sources if sources.is_empty() => continue,
                sources if choice.has_untried(&sources) => BUSY_DELAY,
                _ => RETRY_DELAY,
            },
        };
        tokio::time::sleep(delay).await;
        signal.notify_one();
    }
}

/// Asks a host for changes, and further ones while it is silent; returns the first answer with its
/// host, or `None` if the hosts that were asked failed.
async fn ask(
    client: &http::Client,
    choice: &mut traffic::SourceChoice,
    table: store::Table,
    state: &state::State,
) -> Option<(net::SocketAddr, Answer)> {
    let own = state.cluster().replica(table).version();
    // No change of the other table is newer than the largest position.
    let (config, targets) = match table {
        store::Table::Targets => (traffic::Position::MAX, own),
        store::Table::Config | store::Table::Hosts => (own, traffic::Position::MAX),
    };
    let mut asked: Vec<net::SocketAddr> = Vec::new();
    let mut pending = stream::FuturesUnordered::new();
    loop {
        // Further hosts may have the changes by now.
        let mut others = sources(table, state);
        others.retain(|other| !asked.contains(other));
        let is_further = asked.is_empty() || choice.has_untried(&others);
        let has_room = pending.len() < MAX_ASKED && is_further;
        let next = has_room.then(|| choice.choose(&others, state.clock.now()));
        if let Some(source) = next.flatten() {
            asked.push(source);
            pending.push(async move {
                let answer = request(client, source, config, targets).await;
                (source, answer)
            });
        }
        match tokio::time::timeout(FURTHER_DELAY, pending.next()).await {
            Ok(Some((_source, Ok(Answer::Busy)))) if !pending.is_empty() => {
                state.metrics.record_busy_pull();
            }
            Ok(Some((source, Ok(answer)))) => {
                // Those asked before it would hold up the next change as well.
                for silent in asked.into_iter().take_while(|silent| *silent != source) {
                    choice.record_failure(silent, state.clock.now());
                }
                return Some((source, answer));
            }
            Ok(Some((source, Err(error)))) => {
                state.metrics.record_failed_pull();
                log::info!(source:% = source, table = table.as_str(), error:% = error; "request for table changes failed; retrying");
                choice.record_failure(source, state.clock.now());
                if pending.is_empty() {
                    return None;
                }
            }
            Ok(None) => return None,
            Err(_elapsed) => {}
        }
    }
}

/// Returns the hosts to ask for changes: live hosts with a newer table, those of the own zone if
/// there are any; the seeds if no host is live, and any host after a suspension.
fn sources(table: store::Table, state: &state::State) -> Vec<net::SocketAddr> {
    let is_catching_up = state.is_catching_up();
    let now = state.clock.now();
    let cluster = state.cluster();
    let own = cluster.replica(table).version();
    let live: Vec<&traffic::Member> = cluster.dispatcher().fleet().live(now).collect();
    if is_catching_up {
        // After a suspension every other host seems silent.
        return state.contacts.all();
    }
    if live.is_empty() {
        return state.contacts.seeds().to_vec();
    }
    let is_newer = |member: &&traffic::Member| match table {
        store::Table::Targets => member.versions.targets > own,
        store::Table::Config | store::Table::Hosts => member.versions.config > own,
    };
    let newer = live.into_iter().filter(is_newer);
    let (near, far): (Vec<&traffic::Member>, Vec<&traffic::Member>) =
        newer.partition(|member| member.zone == state.identity.zone);
    let chosen = if near.is_empty() { far } else { near };
    chosen
        .into_iter()
        .map(|member| member.control_address)
        .collect()
}

/// Asks another host for the changes of both tables after two positions.
pub(crate) async fn request(
    client: &http::Client,
    source: net::SocketAddr,
    config: traffic::Position,
    targets: traffic::Position,
) -> Result<Answer> {
    let (config, targets) = (config.number(), targets.number());
    let path = peers::PATH;
    let request = hyper::Request::get(format!("http://{source}{path}?{config}-{targets}"))
        .header(hyper::header::ACCEPT_ENCODING, peers::DEFLATE)
        .body(http_body_util::Full::new(Bytes::new()))?;
    let reply = client.call(request).await?;
    let in_force = reply.headers.get(peers::IN_FORCE);
    let in_force = in_force.and_then(|value| value.to_str().ok()?.parse().ok());
    let delta = match reply.status {
        200 if reply.headers.contains_key(hyper::header::CONTENT_ENCODING) => {
            peers::decompress(&reply.body)?
        }
        // Hosts of the previous version do not compress.
        200 => bincode::deserialize(&reply.body)?,
        503 => return Ok(Answer::Busy),
        status => return Err(format!("the host answered with status {status}").into()),
    };
    Ok(Answer::Changes {
        delta,
        in_force,
        is_current: !reply.headers.contains_key(peers::CATCHING_UP),
    })
}

/// Applies another host's changes; returns whether that host is at least as far as this one.
fn apply(
    table: store::Table,
    state: &state::State,
    source: net::SocketAddr,
    delta: peers::Delta,
) -> bool {
    let now = state.clock.now();
    for host in delta.hosts {
        state.contacts.add(host);
    }
    let table_delta = match table {
        store::Table::Targets => delta.targets,
        store::Table::Config | store::Table::Hosts => delta.config,
    };
    let origin = cluster::Source::Host(&delta.retained);
    let version = table_delta.version;
    state.observe_epoch(version.epoch());
    let mut cluster = state.cluster();
    let own = cluster.replica(table).version();
    if version > own {
        cluster.apply(table, table_delta.changes, version, origin, now);
        log::info!(table = table.as_str(), version:% = version, before:% = own, source:% = source; "table updated from another host");
    }
    drop(cluster);
    state.changed.notify_one();
    state.queue_changed.notify_one();
    !version.is_zero() && version >= own
}
