//! RPC server for the entry processes of other hosts: forwarded requests and crash reports.

use std::io;
use std::sync;

use skylark_core::kind;
use skylark_core::quarantine;
use skylark_wire::home;
use skylark_wire::home::Home as _;
use skylark_wire::rpc;
use tarpc::context;
use tarpc::server;
use tarpc::server::Channel as _;

use super::message;
use super::run;
use crate::exchange;
use crate::state;

/// Serves the RPC calls of other hosts until the task is dropped.
///
/// # Errors
///
/// Fails when the home address cannot be bound.
pub async fn serve(state: sync::Arc<state::State>) -> io::Result<()> {
    let address = state.settings.home;
    let server = Server { state };
    rpc::accept_compact(address, move |transport| {
        let channel = server::BaseChannel::with_defaults(transport);
        rpc::run_calls(channel.execute(server.clone().serve()))
    })
    .await
}

#[derive(Clone)]
struct Server {
    state: sync::Arc<state::State>,
}

impl home::Home for Server {
    async fn begin(self, _context: context::Context, call: home::Request) -> home::Reply {
        let request = message::from_message(&call, self.state.clock.now());
        let result = match request {
            Some(request) => run::begin(&self.state, call.account, call.key, request).await,
            None => Err(exchange::Refusal::new(kind::ErrorKind::BadRequest)
                .with_outcome(kind::Outcome::Unknown)),
        };
        message::to_reply(result)
    }

    async fn hear(self, _context: context::Context, death: quarantine::Crash) {
        self.state
            .breaker
            .record_remote(self.state.clock.now(), &death);
    }
}
