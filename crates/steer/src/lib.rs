//! Control daemon of an entry host.
//!
//! Replicates the configuration records, tracks the other hosts, contends for leases, and pushes
//! the result to the host's entry and look-up processes.

mod control_state;
mod directory;
mod gossip;
mod heartbeat;
mod leases;
mod owner;
mod peers;
mod push;
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

/// Runs the control daemon with the settings that the command line names.
///
/// # Errors
///
/// Fails when the settings are invalid, the address of the peers' server cannot be bound or the
/// runtime cannot start.
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
    // Binding before the incarnation is created proves that an earlier process on this host has
    // ended, as it held the same address.
    let listener = tokio::net::TcpListener::bind(address).await;
    let listener = listener.map_err(|cause| Error::Bind { address, cause })?;
    let listener = sync::Arc::new(sync::Mutex::new(Some(listener)));
    let state = sync::Arc::new(state::State::new(settings)?);
    log::info!(incarnation:% = state.incarnation(), listen:% = address; "started");
    let finish = shutdown::Shutdown::new();
    let mut supervisor = supervisor::Supervisor::new(finish.clone());
    spawn_tasks(&mut supervisor, &state, &listener);
    let tasks = tokio::spawn(supervisor.run());
    stop.requested().await;
    shut_down(&state).await;
    finish.request();
    let _ended = tasks.await;
    log::info!(incarnation:% = state.incarnation(); "stopped");
    Ok(())
}

fn spawn_tasks(
    supervisor: &mut supervisor::Supervisor,
    state: &sync::Arc<state::State>,
    listener: &peers::Listener,
) {
    let shared = sync::Arc::clone(state);
    let listener = sync::Arc::clone(listener);
    supervisor.spawn("peers", move || {
        peers::serve(sync::Arc::clone(&shared), sync::Arc::clone(&listener))
    });
    let shared = sync::Arc::clone(state);
    supervisor.spawn("table", move || table::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    supervisor.spawn("gossip", move || gossip::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    supervisor.spawn("leases", move || leases::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    supervisor.spawn("budgets", move || owner::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    supervisor.spawn("entry", move || {
        push::run(sync::Arc::clone(&shared), push::Recipient::Entry)
    });
    let shared = sync::Arc::clone(state);
    supervisor.spawn("lookup", move || {
        push::run(sync::Arc::clone(&shared), push::Recipient::Lookup)
    });
    let shared = sync::Arc::clone(state);
    let ready: admin::Ready = sync::Arc::new(move || shared.is_ready());
    let address = state.settings.admin;
    supervisor.spawn("admin", move || {
        admin::serve(address, sync::Arc::clone(&ready))
    });
}

/// Waits for the entry process to drain, then releases all leases and leaves the roster.
///
/// The views of the entry process are kept fresh while it drains.
async fn shut_down(state: &state::State) {
    tokio::time::sleep(LEAVING_WAIT).await;
    let end = state.clock.now() + state.settings.drain.get();
    while state.clock.now() < end && is_draining(state) {
        tokio::time::sleep(DRAIN_POLL_PERIOD).await;
    }
    leases::release_all(state).await;
    if let Err(error) = table::leave(state).await {
        log::warn!(error:% = error; "leaving the roster failed; the members remove this process once it is silent");
    }
}

fn is_draining(state: &state::State) -> bool {
    let entry = state.with(|control| control.entry.clone());
    entry.is_some_and(|entry| entry.phase == control::Phase::Leaving)
}

/// Time for an entry process that is stopped at the same moment to report that it is leaving.
const LEAVING_WAIT: time::Duration = time::Duration::from_secs(1);
const DRAIN_POLL_PERIOD: time::Duration = time::Duration::from_millis(50);
