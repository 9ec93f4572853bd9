//! Control on an entry host: reads records, knows the other hosts, tells its own processes.

mod error;
mod local;
mod options;
mod records;
mod roster;
mod settings;
mod state;

use std::sync;

use skylark_runtime::admin;
use skylark_runtime::logs;
use skylark_runtime::stop;
use skylark_runtime::supervisor;

pub use error::{Error, Result};

/// Runs the control process that the command line describes.
///
/// # Errors
///
/// Fails on wrong settings or when the runtime cannot start.
pub fn run() -> Result<()> {
    let options = options::Options::from_args()?;
    if options.is_check {
        return Ok(());
    }
    logs::init("steer");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.settings.threads)
        .enable_all()
        .build()?;
    runtime.block_on(start(options.settings))
}

async fn start(settings: settings::Settings) -> Result<()> {
    let stop = stop::Stop::with_signals()?;
    let state = sync::Arc::new(state::State::new(settings));
    log::info!(host:% = state.settings.host; "started");
    let mut tree = supervisor::Supervisor::new(stop);
    let shared = sync::Arc::clone(&state);
    tree.spawn("records", move || records::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(&state);
    tree.spawn("roster", move || roster::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(&state);
    tree.spawn("entry", move || {
        local::run(sync::Arc::clone(&shared), local::Role::Entry)
    });
    let shared = sync::Arc::clone(&state);
    tree.spawn("lookup", move || {
        local::run(sync::Arc::clone(&shared), local::Role::Lookup)
    });
    let shared = sync::Arc::clone(&state);
    let ready: admin::Ready = sync::Arc::new(move || shared.is_ready());
    let address = state.settings.admin;
    tree.spawn("admin", move || {
        admin::serve(address, sync::Arc::clone(&ready))
    });
    tree.run().await;
    log::info!("stopped");
    Ok(())
}
