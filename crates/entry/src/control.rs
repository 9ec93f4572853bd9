//! RPC server for the host's control process, which installs records and lists of hosts.

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

/// Serves the RPC calls of the control process until the task is dropped.
///
/// # Errors
///
/// Fails when the control address cannot be bound.
pub async fn serve(state: sync::Arc<state::State>) -> io::Result<()> {
    let address = state.settings.control;
    let install_lock = sync::Arc::default();
    let server = Server {
        state,
        install_lock,
    };
    rpc::accept_json(address, move |transport| {
        let channel = server::BaseChannel::with_defaults(transport);
        rpc::run_calls(channel.execute(server.clone().serve()))
    })
    .await
}

#[derive(Clone)]
struct Server {
    state: sync::Arc<state::State>,
    install_lock: sync::Arc<sync::Mutex<()>>,
}

impl control::Control for Server {
    async fn clock(self, _context: context::Context) -> instant::Instant {
        self.state.clock.now()
    }

    async fn install(self, _context: context::Context, view: control::View) -> control::Installed {
        let needs_records = {
            // Of two concurrent calls, the one with the older view could otherwise take effect last.
            let _guard = self
                .install_lock
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner);
            !install(&self.state, &view)
        };
        control::Installed {
            version: self.state.view().catalog.version,
            incarnation: Some(self.state.incarnation.clone()),
            needs_records,
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

/// Installs a view, unless it is older than the current one.
///
/// Returns false if the view names a newer version without its records, which must be sent too.
fn install(state: &state::State, received: &control::View) -> bool {
    let current = state.view();
    if received.version < current.catalog.version {
        return true;
    }
    let catalog = match &received.records {
        Some(_records) if received.version == current.catalog.version => {
            sync::Arc::clone(&current.catalog)
        }
        Some(records) => match catalog::Catalog::new(received.version, records) {
            Ok(catalog) => sync::Arc::new(catalog),
            Err(error) => {
                log::error!(version:% = received.version, error:% = error; "the received records are invalid; keeping the previous version");
                return true;
            }
        },
        None if received.version == current.catalog.version => sync::Arc::clone(&current.catalog),
        None => return false,
    };
    if catalog.version > current.catalog.version {
        state.rate_limiter.configure(&catalog, state.clock.now());
        log::info!(version:% = catalog.version; "records installed");
    }
    let now = state.clock.now();
    let fresh_at = current
        .fresh_at
        .max(received.fresh_at.map(|at| at.min(now)));
    if received.hosts.len() != current.hosts.len() {
        log::info!(hosts = received.hosts.len(); "the number of known entry hosts changed");
    }
    state.set_view(view::View {
        catalog,
        hosts: received.hosts.clone().into(),
        fresh_at,
    });
    true
}
