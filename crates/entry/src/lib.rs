//! Data path on an entry host: from a caller's request to a target's whole answer.

mod answer;
mod balance;
mod control;
mod exchange;
mod forward;
mod identity;
mod journal;
mod once;
mod pipeline;
mod pool;
mod purse;
mod quarantine;
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

/// Runs the entry process that the command line describes.
///
/// # Errors
///
/// Fails on wrong settings or an address that cannot be bound.
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
    let finished = shutdown::Shutdown::new();
    let mut tree = supervisor::Supervisor::new(finished.clone());
    supervise(&mut tree, &state);
    let tasks = tokio::spawn(tree.run());
    serve::run(listener, &state, &stop).await;
    state.book.leave();
    once::end(&state, state.settings.drain.get()).await;
    purse::leave(&state).await;
    journal::flush(&state).await;
    finished.request();
    let _ended = tasks.await;
    log::info!(incarnation:% = state.incarnation; "stopped");
    Ok(())
}

fn supervise(tree: &mut supervisor::Supervisor, state: &sync::Arc<state::State>) {
    let shared = sync::Arc::clone(state);
    tree.spawn("control", move || control::serve(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    tree.spawn("home", move || once::serve(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    tree.spawn("ledger copy", move || once::keep(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    tree.spawn("tokens", move || purse::ask(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    tree.spawn("slots", move || purse::claim(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    tree.spawn("journal", move || journal::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    let ready: admin::Ready = sync::Arc::new(move || shared.is_ready());
    let address = state.settings.admin;
    tree.spawn("admin", move || {
        admin::serve(address, sync::Arc::clone(&ready))
    });
}
