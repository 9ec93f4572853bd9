//! RPC server for peers, and for entry processes that ask for tokens.

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

/// Listener that is bound before the incarnation is created; the first run of the server takes it.
pub type Listener = sync::Arc<sync::Mutex<Option<tokio::net::TcpListener>>>;

/// Serves peers until the task is dropped.
///
/// # Errors
///
/// Fails when a later run cannot bind the address again.
pub async fn serve(state: sync::Arc<state::State>, listener: Listener) -> io::Result<()> {
    let bound_listener = listener
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
        .take();
    let bound_listener = match bound_listener {
        Some(bound_listener) => bound_listener,
        None => tokio::net::TcpListener::bind(state.settings.steer_listen()).await?,
    };
    let peer_server = PeerServer { state };
    rpc::accept_compact_on(bound_listener, move |transport| {
        let channel = server::BaseChannel::with_defaults(transport);
        rpc::run_calls(channel.execute(peer_server.clone().serve()))
    })
    .await
}

#[derive(Clone)]
struct PeerServer {
    state: sync::Arc<state::State>,
}

impl peer::Peer for PeerServer {
    async fn ask(self, _context: context::Context, question: peer::Request) -> peer::Reply {
        let now = self.state.clock.now();
        self.state.with(|control| control.answer(&question, now))
    }

    async fn fetch(self, _context: context::Context, after: unit::Version) -> peer::Records {
        let (version, changes, records) = self.state.with(|control| {
            let changes = control.config.changes_after(after);
            let records = sync::Arc::clone(&control.records);
            (control.config.version(), changes, records)
        });
        match changes {
            Some(changes) => peer::Records::Changes(encode(&changes)),
            None => peer::Records::Snapshot(version, encode(records.as_ref())),
        }
    }

    async fn lend(self, _context: context::Context, ask: budget::Request) -> grant::Reply {
        self.state.budget_owner.lend(&ask, &self.state)
    }

    async fn bar(self, _context: context::Context, lease: String, version: u64) -> peer::Fenced {
        peer::Fenced {
            member: self.state.incarnation().clone(),
            is_fenced: self.state.with(|control| control.fence(&lease, version)),
        }
    }
}

/// Encodes records as JSON, or as an empty text on failure, which the receiver rejects.
fn encode<T: serde::Serialize>(records: &T) -> Vec<u8> {
    serde_json::to_vec(records).unwrap_or_default()
}
