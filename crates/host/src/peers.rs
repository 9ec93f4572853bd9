//! What hosts ask each other for when the store gives no news.

use std::collections;
use std::net;
use std::sync;
use std::time;

use skylark_core::instant;
use skylark_core::name;
use skylark_core::traffic;
use skylark_platform::store;
use skylark_wire::http;

use super::cluster;
use super::error;
use super::listeners;
use super::state;

/// Path under which a host tells all that it knows.
const PATH: &str = "/knowledge";
/// Time that an answer of another host may take.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Pause after an answer, in which several changes gather.
const BATCH_DELAY: time::Duration = time::Duration::from_millis(60);
/// Pause after a question without an answer.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);
/// Time for which a host that is not heard is reported often.
const FREQUENT_REPORT_TIME: time::Duration = time::Duration::from_secs(30);
/// Time between reports to a host that is not heard any more.
const SILENT_REPORT_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Time between reports to a host that relays tell of, while it is not heard.
const RELAYED_REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Control addresses of the other hosts.
#[derive(Debug)]
pub(crate) struct Contacts {
    own: net::SocketAddr,
    seeds: Vec<net::SocketAddr>,
    known: sync::Mutex<collections::BTreeMap<net::SocketAddr, Contact>>,
}

#[derive(Clone, Debug, Default)]
struct Contact {
    /// Its availability zone, none before it was heard.
    zone: Option<name::Zone>,
    heard: Option<instant::Instant>,
    reported: Option<instant::Instant>,
    added: Option<instant::Instant>,
}

impl Contacts {
    /// Creates the addresses that the settings name.
    pub(crate) fn new(seeds: &[net::SocketAddr], own: net::SocketAddr) -> Self {
        let addresses = Self {
            own,
            seeds: seeds.iter().copied().filter(|seed| *seed != own).collect(),
            known: sync::Mutex::default(),
        };
        addresses.seeds.iter().for_each(|seed| addresses.add(*seed));
        addresses
    }

    /// Adds an address.
    pub(crate) fn add(&self, address: net::SocketAddr) {
        if address != self.own {
            self.lock().entry(address).or_default();
        }
    }

    /// Notes that a host was heard, from itself or through a relay.
    pub(crate) fn record_heard(&self, member: &traffic::Member, now: instant::Instant) {
        if member.control_address == self.own {
            return;
        }
        let mut known = self.lock();
        let contact = known.entry(member.control_address).or_default();
        contact.heard = Some(now);
        if contact.zone.as_ref() != Some(&member.zone) {
            contact.zone = Some(member.zone.clone());
        }
    }

    /// Returns the addresses that are to be reported a report now.
    ///
    /// Hosts that are not `near` hear of this one through relays, but for
    /// those that are not heard; hosts not heard for long are reported seldom.
    pub(crate) fn due_for_report(
        &self,
        near: impl Fn(net::SocketAddr, &name::Zone) -> bool,
        now: instant::Instant,
    ) -> Vec<net::SocketAddr> {
        let mut due = Vec::new();
        for (address, contact) in self.lock().iter_mut() {
            let since = contact.heard.or(contact.added);
            contact.added = contact.added.or(Some(now));
            let silence = since.map_or(time::Duration::ZERO, |at| now.since(at));
            let is_near = contact
                .zone
                .as_ref()
                .is_none_or(|zone| near(*address, zone));
            let is_live =
                contact.heard.is_some() && silence < traffic::Fleet::RELAYED_LIVENESS_TIMEOUT;
            let interval = match (is_near, is_live) {
                _ if silence >= FREQUENT_REPORT_TIME => Some(SILENT_REPORT_INTERVAL),
                (true, _) => Some(time::Duration::ZERO),
                (false, true) => None,
                (false, false) => Some(RELAYED_REPORT_INTERVAL),
            };
            let reported = contact.reported;
            let is_due = interval
                .is_some_and(|interval| reported.is_none_or(|at| now.since(at) >= interval));
            if is_due {
                contact.reported = Some(now);
                due.push(*address);
            }
        }
        due
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<net::SocketAddr, Contact>> {
        self.known
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// What a host knows that another one lacks.
#[derive(serde::Serialize, serde::Deserialize)]
struct Delta {
    config: TableDelta,
    targets: TableDelta,
    /// Targets that the host keeps although the store lists them no more.
    retained: Vec<name::Target>,
    hosts: Vec<net::SocketAddr>,
}

/// What a copy of a table has that an older one lacks.
#[derive(serde::Serialize, serde::Deserialize)]
struct TableDelta {
    version: u64,
    changes: traffic::Changes,
}

impl TableDelta {
    fn new(replica: &traffic::Replica, after: u64) -> Self {
        Self {
            version: replica.version(),
            changes: replica.changes_since(after),
        }
    }
}

/// Answers other hosts until the task is dropped.
pub(crate) async fn serve(
    listener: sync::Arc<tokio::net::TcpListener>,
    state: sync::Arc<state::State>,
) -> error::Result<()> {
    listeners::serve(listener, "peers", move |request| {
        let state = sync::Arc::clone(&state);
        async move {
            let after = (request.uri().path() == PATH)
                .then(|| read_versions(request.uri().query().unwrap_or_default()));
            let Some(after) = after.flatten() else {
                log::warn!(uri:% = request.uri(); "question of another host refused");
                return listeners::response(hyper::StatusCode::NOT_FOUND, "text/plain", Vec::new());
            };
            match bincode::serialize(&delta(&state, after)) {
                Ok(body) => {
                    listeners::response(hyper::StatusCode::OK, "application/octet-stream", body)
                }
                Err(error) => {
                    log::error!(error:% = error; "knowledge could not be told");
                    let status = hyper::StatusCode::INTERNAL_SERVER_ERROR;
                    listeners::response(status, "text/plain", Vec::new())
                }
            }
        }
    })
    .await
}

/// Reads the versions that the asking host has, `ORDERS-TARGETS`.
fn read_versions(query: &str) -> Option<traffic::Versions> {
    let (orders, targets) = query.split_once('-')?;
    Some(traffic::Versions {
        config: orders.parse().ok()?,
        targets: targets.parse().ok()?,
    })
}

fn delta(state: &state::State, after: traffic::Versions) -> Delta {
    let cluster = state.cluster();
    Delta {
        config: TableDelta::new(cluster.replica(store::Table::Config), after.config),
        targets: TableDelta::new(cluster.replica(store::Table::Targets), after.targets),
        retained: cluster.retained(),
        hosts: state.peers.lock().keys().copied().collect(),
    }
}

/// Asks other hosts whenever they know more than this one, until the task is dropped.
pub(crate) async fn pull(state: sync::Arc<state::State>) -> error::Result<()> {
    let client = http::Client::new(REQUEST_TIMEOUT);
    let mut turn = 0_usize;
    loop {
        state.pull_needed.notified().await;
        let sources = sources(&state);
        if sources.is_empty() {
            continue;
        }
        turn = turn.wrapping_add(1);
        let source = sources[turn % sources.len()];
        let after = state.cluster().versions();
        match ask(&client, source, after).await {
            Ok(delta) => {
                apply(&state, source, delta);
                tokio::time::sleep(BATCH_DELAY).await;
            }
            Err(error) => {
                log::info!(source:% = source, error:% = error; "host did not answer");
                tokio::time::sleep(RETRY_DELAY).await;
                state.pull_needed.notify_one();
            }
        }
    }
}

/// Returns whom to ask: hosts that know more, those of the own zone if any, or the seeds
/// where none was heard.
fn sources(state: &state::State) -> Vec<net::SocketAddr> {
    let now = state.clock.now();
    let cluster = state.cluster();
    let own = cluster.versions();
    let live: Vec<&traffic::Member> = cluster.dispatcher().fleet().live(now).collect();
    if live.is_empty() {
        return state.peers.seeds.clone();
    }
    let newer = live
        .into_iter()
        .filter(|member| member.versions.is_newer(own));
    let (near, far): (Vec<&traffic::Member>, Vec<&traffic::Member>) =
        newer.partition(|member| member.zone == state.identity.zone);
    let chosen = if near.is_empty() { far } else { near };
    chosen
        .into_iter()
        .map(|member| member.control_address)
        .collect()
}

async fn ask(
    client: &http::Client,
    source: net::SocketAddr,
    after: traffic::Versions,
) -> Result<Delta, Box<dyn std::error::Error + Send + Sync>> {
    let (orders, targets) = (after.config, after.targets);
    let url = format!("http://{source}{PATH}?{orders}-{targets}");
    let reply = client.send("GET", &url, Vec::new()).await?;
    Ok(bincode::deserialize(&reply.body)?)
}

fn apply(state: &state::State, source: net::SocketAddr, delta: Delta) {
    let now = state.clock.now();
    for host in delta.hosts {
        state.peers.add(host);
    }
    let origin = cluster::Source::Host(&delta.retained);
    let mut cluster = state.cluster();
    let tables = [
        (store::Table::Config, delta.config),
        (store::Table::Targets, delta.targets),
    ];
    for (table, delta) in tables {
        let (version, own) = (delta.version, cluster.replica(table).version());
        if version <= own {
            continue;
        }
        cluster.apply(table, delta.changes, version, origin, now);
        log::info!(table = table.as_str(), version, before = own, source:% = source; "learned from another host");
    }
    drop(cluster);
    state.changed.notify_one();
    state.queue_changed.notify_one();
}
