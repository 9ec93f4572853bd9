//! Calls of the host's control process.

use std::io;
use std::sync;

use skylark_core::catalog;
use skylark_core::instant;
use skylark_wire::control;
use skylark_wire::control::Control as _;
use skylark_wire::rpc;
use tarpc::context;
use tarpc::server;
use tarpc::server::Channel as _;

use super::answer;
use super::state;

/// Answers the control process's calls until the task is dropped.
///
/// # Errors
///
/// Fails when the control address cannot be bound.
pub async fn serve(state: sync::Arc<state::State>) -> io::Result<()> {
    let address = state.settings.control;
    let turn = sync::Arc::default();
    let handler = Handler { state, turn };
    rpc::accept_json(address, move |transport| {
        let channel = server::BaseChannel::with_defaults(transport);
        rpc::run_calls(channel.execute(handler.clone().serve()))
    })
    .await
}

#[derive(Clone)]
struct Handler {
    state: sync::Arc<state::State>,
    turn: sync::Arc<sync::Mutex<()>>,
}

impl control::Control for Handler {
    async fn clock(self, _context: context::Context) -> instant::Instant {
        self.state.clock.now()
    }

    async fn install(self, _context: context::Context, view: control::View) -> control::Installed {
        let wants = {
            // One install at a time: two at once could put the older version back.
            let _turn = self
                .turn
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner);
            !install(&self.state, &view)
        };
        control::Installed {
            version: self.state.view().catalog.version,
            incarnation: None,
            needs_records: wants,
            phase: control::Phase::Serving,
        }
    }
}

/// Puts what was told in force and returns whether its version now is.
fn install(state: &state::State, told: &control::View) -> bool {
    let present = state.view();
    if told.version < present.catalog.version {
        return true;
    }
    if told.version == present.catalog.version && told.hosts == present.hosts {
        return true;
    }
    let Some(catalog) = catalog(&present, told) else {
        return false;
    };
    let answers = answer::Answers::new(&catalog, &told.hosts, state.seconds());
    state.set_view(state::View {
        catalog,
        hosts: told.hosts.clone(),
        answers,
    });
    log::info!(version:% = told.version, hosts = told.hosts.len(); "view in force");
    true
}

/// Returns the records of the told version, if they are at hand and sound.
fn catalog(present: &state::View, told: &control::View) -> Option<sync::Arc<catalog::Catalog>> {
    if told.version == present.catalog.version {
        return Some(sync::Arc::clone(&present.catalog));
    }
    match catalog::Catalog::new(told.version, told.records.as_deref()?) {
        Ok(catalog) => Some(sync::Arc::new(catalog)),
        Err(error) => {
            log::error!(version:% = told.version, error:% = error; "records refused");
            None
        }
    }
}
