//! Anti-entropy between hosts: a host pulls the table changes that it lacks from another host.

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

/// Path that returns table changes to other hosts.
const PATH: &str = "/knowledge";
/// Time limit of a request to another host.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Delay after a response, so that several changes come with the next one.
const BATCH_DELAY: time::Duration = time::Duration::from_millis(60);
/// Delay after a failed request.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);
/// Time of silence after which a host gets reports seldom.
const FREQUENT_REPORT_TIME: time::Duration = time::Duration::from_secs(30);
/// Time between reports to a host silent for at least [`FREQUENT_REPORT_TIME`].
const SILENT_REPORT_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Time between reports to a host that is known from relays only, while it is silent.
const RELAYED_REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Control addresses of the other hosts, and when they were last heard.
#[derive(Debug)]
pub(crate) struct Contacts {
    own: net::SocketAddr,
    seeds: Vec<net::SocketAddr>,
    known: sync::Mutex<collections::BTreeMap<net::SocketAddr, Contact>>,
}

#[derive(Clone, Debug, Default)]
struct Contact {
    /// Availability zone; `None` before the first message.
    zone: Option<name::Zone>,
    /// Last message of the host, direct or through a relay.
    heard_at: Option<instant::Instant>,
    /// Last report that was due for the host.
    reported_at: Option<instant::Instant>,
    /// First check for due reports since the address was added.
    added_at: Option<instant::Instant>,
}

impl Contacts {
    /// Creates contacts from the seed addresses of the settings.
    pub(crate) fn new(seeds: &[net::SocketAddr], own: net::SocketAddr) -> Self {
        let contacts = Self {
            own,
            seeds: seeds.iter().copied().filter(|seed| *seed != own).collect(),
            known: sync::Mutex::default(),
        };
        contacts.seeds.iter().for_each(|seed| contacts.add(*seed));
        contacts
    }

    /// Adds an address, unless it is this host's own.
    pub(crate) fn add(&self, address: net::SocketAddr) {
        if address != self.own {
            self.lock().entry(address).or_default();
        }
    }

    /// Records that a host was heard, directly or through a relay.
    pub(crate) fn record_heard(&self, member: &traffic::Member, now: instant::Instant) {
        if member.control_address == self.own {
            return;
        }
        let mut known = self.lock();
        let contact = known.entry(member.control_address).or_default();
        contact.heard_at = Some(now);
        if contact.zone.as_ref() != Some(&member.zone) {
            contact.zone = Some(member.zone.clone());
        }
    }

    /// Returns the addresses that are due for a report, and marks them as reported.
    ///
    /// Hosts that are not `near` hear of this one through relays, unless they are silent.
    /// Hosts that have been silent for long get reports seldom.
    pub(crate) fn due_for_report(
        &self,
        near: impl Fn(net::SocketAddr, &name::Zone) -> bool,
        now: instant::Instant,
    ) -> Vec<net::SocketAddr> {
        let mut due = Vec::new();
        for (address, contact) in self.lock().iter_mut() {
            let since = contact.heard_at.or(contact.added_at);
            contact.added_at = contact.added_at.or(Some(now));
            let silence = since.map_or(time::Duration::ZERO, |at| now.since(at));
            let is_near = contact
                .zone
                .as_ref()
                .is_none_or(|zone| near(*address, zone));
            let is_live =
                contact.heard_at.is_some() && silence < traffic::Fleet::RELAYED_LIVENESS_TIMEOUT;
            let interval = match (is_near, is_live) {
                _ if silence >= FREQUENT_REPORT_TIME => Some(SILENT_REPORT_INTERVAL),
                (true, _) => Some(time::Duration::ZERO),
                (false, true) => None,
                (false, false) => Some(RELAYED_REPORT_INTERVAL),
            };
            let reported_at = contact.reported_at;
            let is_due = interval
                .is_some_and(|interval| reported_at.is_none_or(|at| now.since(at) >= interval));
            if is_due {
                contact.reported_at = Some(now);
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

/// Table changes that a host has and the requesting host lacks.
#[derive(serde::Serialize, serde::Deserialize)]
struct Delta {
    config: TableDelta,
    targets: TableDelta,
    /// Targets that the host retains although the store no longer lists them.
    retained: Vec<name::Target>,
    hosts: Vec<net::SocketAddr>,
}

/// Changes of one table since a version.
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

/// Serves other hosts until the task is dropped.
pub(crate) async fn serve(
    listener: sync::Arc<tokio::net::TcpListener>,
    state: sync::Arc<state::State>,
) -> error::Result<()> {
    listeners::serve(listener, "peers", move |request| {
        let state = sync::Arc::clone(&state);
        async move {
            let after = (request.uri().path() == PATH)
                .then(|| parse_versions(request.uri().query().unwrap_or_default()));
            let Some(after) = after.flatten() else {
                log::warn!(uri:% = request.uri(); "request of another host rejected: unknown path or versions");
                return listeners::response(hyper::StatusCode::NOT_FOUND, "text/plain", Vec::new());
            };
            match bincode::serialize(&delta(&state, after)) {
                Ok(body) => {
                    listeners::response(hyper::StatusCode::OK, "application/octet-stream", body)
                }
                Err(error) => {
                    log::error!(error:% = error; "table changes could not be serialized; answered with 500");
                    let status = hyper::StatusCode::INTERNAL_SERVER_ERROR;
                    listeners::response(status, "text/plain", Vec::new())
                }
            }
        }
    })
    .await
}

/// Parses the versions that the asking host has, `CONFIG-TARGETS`.
fn parse_versions(query: &str) -> Option<traffic::Versions> {
    let (config, targets) = query.split_once('-')?;
    Some(traffic::Versions {
        config: config.parse().ok()?,
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

/// Pulls changes whenever another host has newer ones, until the task is dropped.
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
        match request_delta(&client, source, after).await {
            Ok(delta) => {
                apply(&state, source, delta);
                tokio::time::sleep(BATCH_DELAY).await;
            }
            Err(error) => {
                log::info!(source:% = source, error:% = error; "request for table changes failed; retrying");
                tokio::time::sleep(RETRY_DELAY).await;
                state.pull_needed.notify_one();
            }
        }
    }
}

/// Returns the hosts to ask for changes: live hosts with newer tables, those of the own zone if
/// there are any, and the seeds if no host is live.
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

async fn request_delta(
    client: &http::Client,
    source: net::SocketAddr,
    after: traffic::Versions,
) -> Result<Delta, Box<dyn std::error::Error + Send + Sync>> {
    let (config, targets) = (after.config, after.targets);
    let url = format!("http://{source}{PATH}?{config}-{targets}");
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
    for (table, table_delta) in tables {
        let (version, own) = (table_delta.version, cluster.replica(table).version());
        if version <= own {
            continue;
        }
        cluster.apply(table, table_delta.changes, version, origin, now);
        log::info!(table = table.as_str(), version, before = own, source:% = source; "table updated from another host");
    }
    drop(cluster);
    state.changed.notify_one();
    state.queue_changed.notify_one();
}
