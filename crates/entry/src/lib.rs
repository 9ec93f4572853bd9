//! Data path on an entry host: from a caller's request to a target's whole answer.

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
use skylark_runtime::process;
use skylark_runtime::stop;
use skylark_runtime::supervisor;

pub use skylark_runtime::error::{Error, Result};

/// Runs the entry process that the command line describes.
///
/// # Errors
///
/// Fails on wrong settings or an address that cannot be bound.
pub fn run() -> Result<()> {
    process::run(
        "entry",
        |settings: &settings::Settings| settings.threads,
        start,
    )
}

async fn start(settings: settings::Settings) -> Result<()> {
    let stop = stop::Stop::with_signals()?;
    let state = sync::Arc::new(state::State::new(settings)?);
    let listener = serve::bind(state.settings.listen).await?;
    log::info!(incarnation:% = state.incarnation, listen:% = state.settings.listen; "started");
    let finished = stop::Stop::new();
    let mut tree = supervisor::Supervisor::new(finished.clone());
    supervise(&mut tree, &state);
    let tasks = tokio::spawn(tree.run());
    serve::run(listener, &state, &stop).await;
    state.ledger.leave();
    idempotency::end(&state, state.settings.drain.get()).await;
    rate_limit::release_slots(&state).await;
    journal::flush(&state).await;
    finished.ask();
    let _ended = tasks.await;
    log::info!(incarnation:% = state.incarnation; "stopped");
    Ok(())
}

fn supervise(tree: &mut supervisor::Supervisor, state: &sync::Arc<state::State>) {
    let shared = sync::Arc::clone(state);
    tree.spawn("control", move || control::serve(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    tree.spawn("home", move || {
        idempotency::serve(sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tree.spawn("ledger copy", move || {
        idempotency::keep(sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tree.spawn("tokens", move || {
        rate_limit::request_tokens(sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tree.spawn("slots", move || {
        rate_limit::claim_slots(sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tree.spawn("journal", move || journal::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    let ready: admin::Ready = sync::Arc::new(move || shared.is_ready());
    let address = state.settings.admin;
    tree.spawn("admin", move || {
        admin::serve(address, sync::Arc::clone(&ready))
    });
}
