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

use super::state;
use super::view;

/// Answers the control process's calls until the task is dropped.
///
/// # Errors
///
/// Fails when the control address cannot be bound.
pub async fn serve(state: sync::Arc<state::State>) -> io::Result<()> {
    let address = state.settings.control;
    let turn = sync::Arc::default();
    let handler = Server { state, turn };
    rpc::accept_json(address, move |transport| {
        let channel = server::BaseChannel::with_defaults(transport);
        rpc::run_calls(channel.execute(handler.clone().serve()))
    })
    .await
}

#[derive(Clone)]
struct Server {
    state: sync::Arc<state::State>,
    turn: sync::Arc<sync::Mutex<()>>,
}

impl control::Control for Server {
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
            incarnation: Some(self.state.incarnation.clone()),
            wants,
            phase: phase(&self.state),
        }
    }
}

fn phase(state: &state::State) -> control::Phase {
    if state.is_leaving() {
        control::Phase::Leaving
    } else if state.rate_limiter.is_ready(state.clock.now()) {
        control::Phase::Serving
    } else {
        control::Phase::Starting
    }
}

/// Puts what was told in force and returns whether its version now is.
fn install(state: &state::State, told: &control::View) -> bool {
    let present = state.view();
    if told.version < present.catalog.version {
        return true;
    }
    let catalog = match &told.records {
        Some(_records) if told.version == present.catalog.version => {
            sync::Arc::clone(&present.catalog)
        }
        Some(records) => match catalog::Catalog::new(told.version, records) {
            Ok(catalog) => sync::Arc::new(catalog),
            Err(error) => {
                log::error!(version:% = told.version, error:% = error; "records refused");
                return true;
            }
        },
        None if told.version == present.catalog.version => sync::Arc::clone(&present.catalog),
        None => return false,
    };
    if catalog.version > present.catalog.version {
        state.rate_limiter.configure(&catalog, state.clock.now());
        log::info!(version:% = catalog.version; "records in force");
    }
    let now = state.clock.now();
    let fresh_at = present.fresh_at.max(told.fresh_at.map(|at| at.min(now)));
    if told.hosts.len() != present.hosts.len() {
        log::info!(hosts = told.hosts.len(); "entry hosts known");
    }
    state.set_view(view::View {
        catalog,
        hosts: told.hosts.clone().into(),
        fresh_at,
    });
    true
}
