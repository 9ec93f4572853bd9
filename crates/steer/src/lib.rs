//! Control on an entry host: reads records, knows the other hosts, tells its own processes.

mod beat;
mod directory;
mod gossip;
mod known;
mod leases;
mod local;
mod owner;
mod peers;
mod settings;
mod state;
mod table;

use std::sync;
use std::time;

use skylark_runtime::admin;
use skylark_runtime::daemon;
use skylark_runtime::shutdown;
use skylark_runtime::supervisor;
use skylark_wire::control;

pub use skylark_runtime::error::{Error, Result};

/// Runs the control process that the command line describes.
///
/// # Errors
///
/// Fails on wrong settings or when the runtime cannot start.
pub fn run() -> Result<()> {
    daemon::run(
        "steer",
        |settings: &settings::Settings| settings.threads,
        start,
    )
}

async fn start(settings: settings::Settings) -> Result<()> {
    let stop = shutdown::Shutdown::with_signals()?;
    let address = settings.steer_listen();
    // Bound before this life is named: an earlier life on the host has ended by now.
    let listener = tokio::net::TcpListener::bind(address).await;
    let listener = listener.map_err(|cause| Error::Bind { address, cause })?;
    let listener = sync::Arc::new(sync::Mutex::new(Some(listener)));
    let state = sync::Arc::new(state::State::new(settings)?);
    log::info!(incarnation:% = state.incarnation(), listen:% = address; "started");
    let finished = shutdown::Shutdown::new();
    let mut tree = supervisor::Supervisor::new(finished.clone());
    supervise(&mut tree, &state, &listener);
    let tasks = tokio::spawn(tree.run());
    stop.requested().await;
    leave(&state).await;
    finished.request();
    let _ended = tasks.await;
    log::info!(incarnation:% = state.incarnation(); "stopped");
    Ok(())
}

fn supervise(
    tree: &mut supervisor::Supervisor,
    state: &sync::Arc<state::State>,
    listener: &peers::Listener,
) {
    let shared = sync::Arc::clone(state);
    let listener = sync::Arc::clone(listener);
    tree.spawn("peers", move || {
        peers::serve(sync::Arc::clone(&shared), sync::Arc::clone(&listener))
    });
    let shared = sync::Arc::clone(state);
    tree.spawn("table", move || table::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    tree.spawn("gossip", move || gossip::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    tree.spawn("leases", move || leases::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    tree.spawn("budgets", move || owner::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    tree.spawn("entry", move || {
        local::run(sync::Arc::clone(&shared), local::Role::Entry)
    });
    let shared = sync::Arc::clone(state);
    tree.spawn("lookup", move || {
        local::run(sync::Arc::clone(&shared), local::Role::Lookup)
    });
    let shared = sync::Arc::clone(state);
    let ready: admin::Ready = sync::Arc::new(move || shared.is_ready());
    let address = state.settings.admin;
    tree.spawn("admin", move || {
        admin::serve(address, sync::Arc::clone(&ready))
    });
}

/// Keeps an entry process that drains fresh, then leaves leases and roster.
async fn leave(state: &state::State) {
    tokio::time::sleep(PHASE_WAIT).await;
    let end = state.clock.now() + state.settings.drain.get();
    while state.clock.now() < end && is_draining(state) {
        tokio::time::sleep(DRAIN_STEP).await;
    }
    leases::give_back(state).await;
    if let Err(error) = table::leave(state).await {
        log::warn!(error:% = error; "roster not left");
    }
}

fn is_draining(state: &state::State) -> bool {
    let entry = state.with(|known| known.entry.clone());
    entry.is_some_and(|entry| entry.phase == control::Phase::Leaving)
}

/// Time in which an entry process that was stopped too tells that it drains.
const PHASE_WAIT: time::Duration = time::Duration::from_secs(1);
const DRAIN_STEP: time::Duration = time::Duration::from_millis(50);
