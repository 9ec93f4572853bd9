//! Look-up daemon: tells callers which entry hosts to use, in which order and for how long.

mod answer;
mod control;
mod serve;
mod settings;
mod state;

use std::sync;

use skylark_runtime::admin;
use skylark_runtime::daemon;
use skylark_runtime::shutdown;
use skylark_runtime::supervisor;

pub use answer::{Answers, Entry, MAX_ANSWER_HOSTS, Reply};
pub use skylark_runtime::error::{Error, Result};

/// Runs the look-up daemon with the settings that the command line names.
///
/// # Errors
///
/// Fails when the settings are invalid or an address cannot be bound.
pub fn run() -> Result<()> {
    daemon::run(
        "lookup",
        |settings: &settings::Settings| settings.threads,
        start,
    )
}

async fn start(settings: settings::Settings) -> Result<()> {
    let stop = shutdown::Shutdown::with_signals()?;
    let listener = serve::bind(settings.listen).await?;
    log::info!(listen:% = settings.listen; "started");
    let state = sync::Arc::new(state::State::new(settings)?);
    let mut supervisor = supervisor::Supervisor::new(stop.clone());
    let shared = sync::Arc::clone(&state);
    supervisor.spawn("control", move || control::serve(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(&state);
    let ready: admin::Ready = sync::Arc::new(move || shared.is_ready());
    let address = state.settings.admin;
    supervisor.spawn("admin", move || {
        admin::serve(address, sync::Arc::clone(&ready))
    });
    let tasks = tokio::spawn(supervisor.run());
    serve::run(listener, &state, &stop).await;
    let _ended = tasks.await;
    log::info!("stopped");
    Ok(())
}
