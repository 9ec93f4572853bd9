//! Answering peers.

use std::io;
use std::sync;

use skylark_core::budget;
use skylark_core::unit;
use skylark_wire::grant;
use skylark_wire::peer;
use skylark_wire::peer::Peer as _;
use skylark_wire::rpc;
use tarpc::context;
use tarpc::server;
use tarpc::server::Channel as _;

use super::state;

/// A listener that is bound before this life is named, and taken by the first run.
pub type Listener = sync::Arc<sync::Mutex<Option<tokio::net::TcpListener>>>;

/// Answers peers until the task is dropped.
///
/// # Errors
///
/// Fails when the address cannot be bound again.
pub async fn serve(state: sync::Arc<state::State>, listener: Listener) -> io::Result<()> {
    let bound = listener
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
        .take();
    let bound = match bound {
        Some(bound) => bound,
        None => tokio::net::TcpListener::bind(state.settings.steer_listen()).await?,
    };
    let handler = Handler { state };
    rpc::accept_compact_on(bound, move |transport| {
        let channel = server::BaseChannel::with_defaults(transport);
        rpc::run_calls(channel.execute(handler.clone().serve()))
    })
    .await
}

#[derive(Clone)]
struct Handler {
    state: sync::Arc<state::State>,
}

impl peer::Peer for Handler {
    async fn ask(self, _context: context::Context, question: peer::Request) -> peer::Reply {
        let now = self.state.clock.now();
        self.state.with(|known| known.answer(&question, now))
    }

    async fn fetch(self, _context: context::Context, after: unit::Version) -> peer::Records {
        let (version, changes, records) = self.state.with(|known| {
            let changes = known.config.changes_after(after);
            let records = sync::Arc::clone(&known.records);
            (known.config.version(), changes, records)
        });
        match changes {
            Some(changes) => peer::Records::Changes(encode(&changes)),
            None => peer::Records::Snapshot(version, encode(records.as_ref())),
        }
    }

    async fn lend(self, _context: context::Context, ask: budget::Request) -> grant::Reply {
        self.state.post.lend(&ask, &self.state)
    }

    async fn bar(self, _context: context::Context, lease: String, version: u64) -> peer::Fenced {
        peer::Fenced {
            member: self.state.incarnation().clone(),
            is_fenced: self.state.with(|known| known.bar(&lease, version)),
        }
    }
}

/// Writes records as JSON; the receiver refuses an empty text.
fn encode<T: serde::Serialize>(records: &T) -> Vec<u8> {
    serde_json::to_vec(records).unwrap_or_default()
}
