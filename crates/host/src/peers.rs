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

use super::error;
use super::knowledge;
use super::serve;
use super::state;

/// Path under which a host tells all that it knows.
const PATH: &str = "/knowledge";
/// Time that an answer of another host may take.
const CALL_TIME: time::Duration = time::Duration::from_secs(1);
/// Pause between two questions.
const PAUSE: time::Duration = time::Duration::from_millis(300);
/// Time for which a host that is not heard is told every report.
const TOLD_FOR: time::Duration = time::Duration::from_secs(30);
/// Time between reports to a host that is not heard any more.
const SLOW_GAP: time::Duration = time::Duration::from_secs(5);

/// Control addresses of the other hosts.
#[derive(Debug)]
pub(crate) struct Addresses {
    own: net::SocketAddr,
    seeds: Vec<net::SocketAddr>,
    known: sync::Mutex<collections::BTreeMap<net::SocketAddr, Contact>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    heard: Option<instant::Instant>,
    told: Option<instant::Instant>,
    added: Option<instant::Instant>,
}

impl Addresses {
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

    /// Notes that a host was heard.
    pub(crate) fn heard(&self, address: net::SocketAddr, now: instant::Instant) {
        self.add(address);
        if let Some(contact) = self.lock().get_mut(&address) {
            contact.heard = Some(now);
        }
    }

    /// Returns the addresses that are to be told now, those not heard less often.
    pub(crate) fn due(&self, now: instant::Instant) -> Vec<net::SocketAddr> {
        let mut due = Vec::new();
        for (address, contact) in self.lock().iter_mut() {
            let since = contact.heard.or(contact.added);
            contact.added = contact.added.or(Some(now));
            let is_near = since.is_none_or(|at| now.since(at) < TOLD_FOR);
            let is_due = contact.told.is_none_or(|at| now.since(at) >= SLOW_GAP);
            if is_near || is_due {
                contact.told = Some(now);
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

/// All that a host knows, for another one.
#[derive(serde::Serialize, serde::Deserialize)]
struct Knowledge {
    orders: Copy,
    targets: Copy,
    /// Targets that the host keeps although the store lists them no more.
    kept: Vec<name::Target>,
    hosts: Vec<net::SocketAddr>,
}

/// A copy of a table.
#[derive(serde::Serialize, serde::Deserialize)]
struct Copy {
    version: u64,
    rows: Vec<traffic::Row>,
}

impl From<&traffic::Mirror> for Copy {
    fn from(mirror: &traffic::Mirror) -> Self {
        Self {
            version: mirror.version(),
            rows: mirror.rows().cloned().collect(),
        }
    }
}

impl From<Copy> for store::Rows {
    fn from(copy: Copy) -> Self {
        Self {
            rows: copy.rows,
            version: copy.version,
        }
    }
}

/// Answers other hosts until the task is dropped.
pub(crate) async fn serve(
    listener: sync::Arc<tokio::net::TcpListener>,
    state: sync::Arc<state::State>,
) -> error::Result<()> {
    serve::answer(listener, "peers", move |request| {
        let state = sync::Arc::clone(&state);
        async move {
            if request.uri().path() != PATH {
                return serve::reply(hyper::StatusCode::NOT_FOUND, "text/plain", Vec::new());
            }
            match bincode::serialize(&tell(&state)) {
                Ok(body) => serve::reply(hyper::StatusCode::OK, "application/octet-stream", body),
                Err(fault) => {
                    log::error!(error:% = fault; "knowledge could not be told");
                    let status = hyper::StatusCode::INTERNAL_SERVER_ERROR;
                    serve::reply(status, "text/plain", Vec::new())
                }
            }
        }
    })
    .await
}

fn tell(state: &state::State) -> Knowledge {
    let known = state.knowledge();
    Knowledge {
        orders: known.mirror(store::Table::Orders).into(),
        targets: known.mirror(store::Table::Targets).into(),
        kept: known.kept(),
        hosts: state.peers.lock().keys().copied().collect(),
    }
}

/// Asks other hosts whenever they know more than this one, until the task is dropped.
pub(crate) async fn catch_up(state: sync::Arc<state::State>) -> error::Result<()> {
    let client = http::Client::new(CALL_TIME);
    let mut turn = 0_usize;
    loop {
        state.behind.notified().await;
        let sources = sources(&state);
        if sources.is_empty() {
            continue;
        }
        turn = turn.wrapping_add(1);
        let source = sources[turn % sources.len()];
        match ask(&client, source).await {
            Ok(knowledge) => take(&state, source, knowledge),
            Err(fault) => log::info!(source:% = source, error:% = fault; "host did not answer"),
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Returns whom to ask: hosts that know more, or the seeds where none was heard.
fn sources(state: &state::State) -> Vec<net::SocketAddr> {
    let now = state.clock.now();
    let known = state.knowledge();
    let own = known.versions();
    let live: Vec<&traffic::Report> = known.desk().fleet().live(now).collect();
    if live.is_empty() {
        return state.peers.seeds.clone();
    }
    let newer = live.into_iter().filter(|report| {
        report.versions.orders > own.orders || report.versions.targets > own.targets
    });
    newer.map(|report| report.control).collect()
}

async fn ask(
    client: &http::Client,
    source: net::SocketAddr,
) -> Result<Knowledge, Box<dyn std::error::Error + Send + Sync>> {
    let url = format!("http://{source}{PATH}");
    let reply = client.send("GET", &url, Vec::new()).await?;
    Ok(bincode::deserialize(&reply.body)?)
}

fn take(state: &state::State, source: net::SocketAddr, knowledge: Knowledge) {
    let now = state.clock.now();
    for host in knowledge.hosts {
        state.peers.add(host);
    }
    let origin = knowledge::Source::Host(&knowledge.kept);
    let mut known = state.knowledge();
    let tables = [
        (store::Table::Orders, knowledge.orders),
        (store::Table::Targets, knowledge.targets),
    ];
    for (table, copy) in tables {
        let (version, own) = (copy.version, known.mirror(table).version());
        if version > own {
            known.replace(table, copy.into(), origin, now);
            log::info!(table = table.as_str(), version, before = own, source:% = source; "learned from another host");
        }
    }
    drop(known);
    state.news.notify_one();
    state.line.notify_one();
}
