//! RPC server that receives views (records and hosts) from the host's control process.

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

/// Serves the control process's calls until the task is dropped.
///
/// # Errors
///
/// Fails when the control address cannot be bound.
pub async fn serve(state: sync::Arc<state::State>) -> io::Result<()> {
    let address = state.settings.control;
    let install_lock = sync::Arc::default();
    let view_server = ViewServer {
        state,
        install_lock,
    };
    rpc::accept_json(address, move |transport| {
        let channel = server::BaseChannel::with_defaults(transport);
        rpc::run_calls(channel.execute(view_server.clone().serve()))
    })
    .await
}

#[derive(Clone)]
struct ViewServer {
    state: sync::Arc<state::State>,
    install_lock: sync::Arc<sync::Mutex<()>>,
}

impl control::Control for ViewServer {
    async fn clock(self, _context: context::Context) -> instant::Instant {
        self.state.clock.now()
    }

    async fn install(self, _context: context::Context, view: control::View) -> control::Installed {
        let needs_records = {
            // Serializes installs: of two concurrent ones, the older version could be stored last.
            let _guard = self
                .install_lock
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner);
            !install(&self.state, &view)
        };
        control::Installed {
            version: self.state.view().catalog.version,
            incarnation: None,
            needs_records,
            phase: control::Phase::Serving,
        }
    }
}

/// Installs a received view unless an equal or newer one is in force.
///
/// Returns false when the records of its version are missing or invalid, so that the sender
/// sends them.
fn install(state: &state::State, received: &control::View) -> bool {
    let current = state.view();
    if received.version < current.catalog.version {
        return true;
    }
    if received.version == current.catalog.version && received.hosts == current.hosts {
        return true;
    }
    let Some(catalog) = build_catalog(&current, received) else {
        return false;
    };
    let answers = answer::Answers::new(&catalog, &received.hosts, state.unix_seconds());
    state.set_view(state::View {
        catalog,
        hosts: received.hosts.clone(),
        answers,
    });
    log::info!(version:% = received.version, hosts = received.hosts.len(); "view installed");
    true
}

/// Returns the catalog of a received view, or `None` if its records are missing or invalid.
fn build_catalog(
    current: &state::View,
    received: &control::View,
) -> Option<sync::Arc<catalog::Catalog>> {
    if received.version == current.catalog.version {
        return Some(sync::Arc::clone(&current.catalog));
    }
    match catalog::Catalog::new(received.version, received.records.as_deref()?) {
        Ok(catalog) => Some(sync::Arc::new(catalog)),
        Err(error) => {
            log::error!(version:% = received.version, error:% = error; "received records are invalid; keeping the previous view");
            None
        }
    }
}
