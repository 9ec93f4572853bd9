//! Data path of an entry host: a reverse proxy that routes callers' requests to targets.
//!
//! Authentication, rate limits, deduplication by idempotency key, load balancing and retries are
//! the stages of its pipeline.

mod auth;
mod balance;
mod breaker;
mod connections;
mod control;
mod exchange;
mod forward;
mod idempotency;
mod journal;
mod pipeline;
mod rate_limit;
mod response;
mod scrub;
mod serve;
mod settings;
mod state;
mod view;

use std::sync;

use skylark_runtime::admin;
use skylark_runtime::daemon;
use skylark_runtime::shutdown;
use skylark_runtime::supervisor;

pub use skylark_runtime::error::{Error, Result};

/// Runs the entry process with the settings file that the command line names.
///
/// # Errors
///
/// Fails on invalid settings or an address that cannot be bound.
pub fn run() -> Result<()> {
    daemon::run(
        "entry",
        |settings: &settings::Settings| settings.threads,
        start,
    )
}

async fn start(settings: settings::Settings) -> Result<()> {
    let stop = shutdown::Shutdown::with_signals()?;
    let state = sync::Arc::new(state::State::new(settings)?);
    let listener = serve::bind(state.settings.listen).await?;
    log::info!(incarnation:% = state.incarnation, listen:% = state.settings.listen; "started");
    let tasks_shutdown = shutdown::Shutdown::new();
    let mut supervisor = supervisor::Supervisor::new(tasks_shutdown.clone());
    supervise(&mut supervisor, &state);
    let tasks = tokio::spawn(supervisor.run());
    serve::run(listener, &state, &stop).await;
    state.ledger.close();
    idempotency::finish_copy(&state, state.settings.drain.get()).await;
    rate_limit::release_slots(&state).await;
    journal::flush(&state).await;
    tasks_shutdown.request();
    let _ended = tasks.await;
    log::info!(incarnation:% = state.incarnation; "stopped");
    Ok(())
}

fn supervise(supervisor: &mut supervisor::Supervisor, state: &sync::Arc<state::State>) {
    let shared = sync::Arc::clone(state);
    supervisor.spawn("control", move || control::serve(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    supervisor.spawn("home", move || {
        idempotency::serve(sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    supervisor.spawn("ledger copy", move || {
        idempotency::copy_outcomes(sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    supervisor.spawn("tokens", move || {
        rate_limit::request_tokens(sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    supervisor.spawn("slots", move || {
        rate_limit::claim_slots(sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    supervisor.spawn("journal", move || journal::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    let ready: admin::Ready = sync::Arc::new(move || shared.is_ready());
    let address = state.settings.admin;
    supervisor.spawn("admin", move || {
        admin::serve(address, sync::Arc::clone(&ready))
    });
}
