//! Table changes for other hosts: one host answers another's question for what it lacks.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use flate2::read;
use flate2::write;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::traffic;
use skylark_platform::store;

use super::body;
use super::error;
use super::listeners;
use super::state;

/// Path that returns table changes to other hosts.
pub(crate) const PATH: &str = "/knowledge";
/// Header with the version of the configuration that the answering host has in force.
pub(crate) const IN_FORCE: hyper::header::HeaderName =
    hyper::header::HeaderName::from_static("configuration-version");
/// Header of an answer of a host that was suspended and may lack what changed meanwhile.
pub(crate) const CATCHING_UP: hyper::header::HeaderName =
    hyper::header::HeaderName::from_static("catching-up");
/// Content encoding of compressed changes.
pub(crate) const DEFLATE: &str = "deflate";
/// Bytes of answers that may be on their way to other hosts at once, unless it is a single one.
///
/// A large change that all hosts of a zone fetch from one host would fill its link, and none
/// would have it in time. Refused hosts soon find others that have it.
pub(crate) const MAX_BYTES_ON_THE_WAY: usize = 192 * 1_024;
/// Size up to which an answer is sent in any case, such as drained targets or a withdrawn key.
const SMALL_ANSWER_BYTES: usize = 16 * 1_024;
/// Largest size of decompressed changes.
const MAX_DELTA_BYTES: u64 = 64 * 1_024 * 1_024;
/// Time for which an answer serves further hosts that ask for the same changes.
const CACHE_TIME: time::Duration = time::Duration::from_millis(500);

/// Table changes that a host has and the requesting host lacks.
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct Delta {
    pub(crate) config: TableDelta,
    pub(crate) targets: TableDelta,
    /// Targets that the host retains although the store no longer lists them.
    pub(crate) retained: Vec<name::Target>,
    pub(crate) hosts: Vec<net::SocketAddr>,
}

/// Changes of one table since a position.
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct TableDelta {
    pub(crate) version: traffic::Position,
    pub(crate) changes: traffic::Changes,
}

impl TableDelta {
    fn new(replica: Option<&traffic::Replica>, after: traffic::Position) -> Self {
        let changes = replica.map(|replica| replica.changes_since(after));
        Self {
            version: replica.map(traffic::Replica::version).unwrap_or_default(),
            changes: changes.unwrap_or(traffic::Changes::Delta(Vec::new())),
        }
    }
}

/// The last compressed answer, for further hosts that ask for the same changes.
#[derive(Clone, Debug)]
pub(crate) struct CachedAnswer {
    after: traffic::Versions,
    newest: traffic::Versions,
    /// Version of the configuration in force, which may be newer than the store's.
    in_force: Option<u64>,
    at: instant::Instant,
    body: Bytes,
}

impl CachedAnswer {
    fn is_valid(
        &self,
        after: traffic::Versions,
        newest: traffic::Versions,
        in_force: Option<u64>,
        now: instant::Instant,
    ) -> bool {
        let is_same = self.after == after && self.newest == newest && self.in_force == in_force;
        is_same && now.since(self.at) < CACHE_TIME
    }
}

/// Serves other hosts until the task is dropped.
pub(crate) async fn serve(
    listener: sync::Arc<tokio::net::TcpListener>,
    state: sync::Arc<state::State>,
) -> error::Result<()> {
    listeners::serve(listener, "peers", move |request| {
        let state = sync::Arc::clone(&state);
        async move { answer(&state, &request) }
    })
    .await
}

fn answer(
    state: &state::State,
    request: &hyper::Request<hyper::body::Incoming>,
) -> listeners::Response {
    let plain = |status| listeners::response(status, "text/plain", Vec::new());
    let after = (request.uri().path() == PATH)
        .then(|| parse_versions(request.uri().query().unwrap_or_default()));
    let Some(after) = after.flatten() else {
        log::warn!(uri:% = request.uri(); "request of another host rejected: unknown path or versions");
        return plain(hyper::StatusCode::NOT_FOUND);
    };
    let accepted = request.headers().get(hyper::header::ACCEPT_ENCODING);
    let is_compressed = accepted.is_some_and(|value| value.as_bytes() == DEFLATE.as_bytes());
    let body = if is_compressed {
        compressed_delta(state, after)
    } else {
        bincode::serialize(&delta(state, after)).map(Bytes::from)
    };
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            log::error!(error:% = error; "table changes could not be serialized; answered with 500");
            return plain(hyper::StatusCode::INTERNAL_SERVER_ERROR);
        }
    };
    let mut response = if body.len() <= SMALL_ANSWER_BYTES {
        hyper::Response::new(body::Forwarded::complete(body))
    } else {
        let Some(reservation) = state.transfers.try_reserve(body.len()) else {
            return plain(hyper::StatusCode::SERVICE_UNAVAILABLE);
        };
        hyper::Response::new(body::Forwarded::complete(body).with_reservation(reservation))
    };
    let in_force = state
        .cluster()
        .dispatcher()
        .rules()
        .map(|rules| rules.version);
    if let Some(version) = in_force {
        response.headers_mut().insert(IN_FORCE, version.into());
    }
    if state.lacks_evidence() {
        response.headers_mut().insert(CATCHING_UP, 1.into());
    }
    if is_compressed {
        let encoding = hyper::header::HeaderValue::from_static(DEFLATE);
        let headers = response.headers_mut();
        headers.insert(hyper::header::CONTENT_ENCODING, encoding);
    }
    response
}

/// Parses the positions that the asking host has, `CONFIG-TARGETS`.
fn parse_versions(query: &str) -> Option<traffic::Versions> {
    let (config, targets) = query.split_once('-')?;
    Some(traffic::Versions {
        config: traffic::Position::from_number(config.parse().ok()?),
        targets: traffic::Position::from_number(targets.parse().ok()?),
    })
}

fn delta(state: &state::State, after: traffic::Versions) -> Delta {
    let cluster = state.cluster();
    Delta {
        config: TableDelta::new(
            cluster.confirmed_replica(store::Table::Config),
            after.config,
        ),
        targets: TableDelta::new(
            cluster.confirmed_replica(store::Table::Targets),
            after.targets,
        ),
        retained: cluster.retained(),
        hosts: state.contacts.all(),
    }
}

fn compressed_delta(state: &state::State, after: traffic::Versions) -> bincode::Result<Bytes> {
    let now = state.clock.now();
    let (newest, in_force) = {
        let cluster = state.cluster();
        (
            cluster.versions(),
            cluster.dispatcher().rules().map(|rules| rules.version),
        )
    };
    if let Some(cached) = state.cached_answer()
        && cached.is_valid(after, newest, in_force, now)
    {
        return Ok(cached.body);
    }
    let body = Bytes::from(compress(&delta(state, after))?);
    state.cache_answer(CachedAnswer {
        after,
        newest,
        in_force,
        at: now,
        body: body.clone(),
    });
    Ok(body)
}

fn compress(delta: &Delta) -> bincode::Result<Vec<u8>> {
    let plain = bincode::serialize(delta)?;
    let mut encoder = write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
    encoder.write_all(&plain)?;
    Ok(encoder.finish()?)
}

/// Decompresses and parses an answer.
///
/// # Errors
///
/// Fails if the bytes are no compressed changes, or more than a host accepts.
pub(crate) fn decompress(bytes: &[u8]) -> bincode::Result<Delta> {
    let mut plain = Vec::new();
    let decoder = read::DeflateDecoder::new(bytes);
    decoder.take(MAX_DELTA_BYTES).read_to_end(&mut plain)?;
    bincode::deserialize(&plain)
}
