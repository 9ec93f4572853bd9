//! Calls of other hosts' entry processes.

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

/// Answers other hosts' calls until the task is dropped.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve(state: sync::Arc<state::State>) -> io::Result<()> {
    let address = state.settings.home;
    let handler = Server { state };
    rpc::accept_compact(address, move |transport| {
        let channel = server::BaseChannel::with_defaults(transport);
        rpc::run_calls(channel.execute(handler.clone().serve()))
    })
    .await
}

#[derive(Clone)]
struct Server {
    state: sync::Arc<state::State>,
}

impl home::Home for Server {
    async fn begin(self, _context: context::Context, call: home::Call) -> home::Reply {
        let request = message::request(&call, self.state.clock.now());
        let result = match request {
            Some(request) => run::begin(&self.state, call.account, call.key, request).await,
            None => Err(exchange::Refusal::new(kind::ErrorKind::BadRequest)
                .with_outcome(kind::Outcome::Unknown)),
        };
        message::reply(result)
    }

    async fn hear(self, _context: context::Context, death: quarantine::Crash) {
        self.state
            .breaker
            .record_remote(self.state.clock.now(), &death);
    }
}
