//! Entry host, look-up and control of one host in one process, on the users' platform.

mod active;
mod attempt;
mod body;
mod caller_stream;
mod callers;
mod charge;
mod cluster;
mod connection;
mod connections;
mod contacts;
mod download;
mod error;
mod exchange;
mod feed;
mod listeners;
mod lookahead;
mod lookups;
mod memory;
mod message;
mod metrics;
mod observer;
mod peers;
mod pipeline;
mod pull;
mod queue;
mod readiness;
mod reconcile;
mod reload;
mod reports;
mod response;
mod retry_token;
mod state;
mod stream;
mod tokens;
mod upload;

use std::io::Write as _;
use std::sync;

use skylark_runtime::logs;
use skylark_runtime::supervisor;
use tokio::signal::unix;

pub use error::{Error, Result};

/// Runs the host process with the settings file that the environment names.
///
/// # Errors
///
/// Fails when the settings are invalid or an address cannot be bound.
pub fn run() -> Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Port on which the host's address serves metrics; none without it
        optional --metrics port: u16
        /// Check the settings and exit
        optional --check
        /// Print the version and exit
        optional --version
    };
    if flags.version {
        writeln!(
            std::io::stdout(),
            "skylark-host {}",
            env!("CARGO_PKG_VERSION")
        )?;
        return Ok(());
    }
    let path = skylark_platform::settings::path()?;
    if flags.check {
        skylark_platform::settings::load(&path)?;
        return Ok(());
    }
    logs::init_bounded("host")?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(start(path, flags.metrics))
}

async fn start(path: std::path::PathBuf, metrics: Option<u16>) -> Result<()> {
    let shutdown = skylark_runtime::shutdown::Shutdown::with_signals()?;
    // A reload signal before the settings are watched must not end the process.
    let _reload = unix::signal(unix::SignalKind::hangup())?;
    let settings = skylark_platform::settings::load(&path)?;
    let sockets = listeners::Sockets::bind(&settings, metrics).await?;
    let reports = listeners::bind_reports(&settings).await?;
    let state = sync::Arc::new(state::State::new(path, settings, reports)?);
    log::info!(host:% = state.identity.host, life = state.incarnation, zone:% = state.identity.zone; "started");
    let finished = skylark_runtime::shutdown::Shutdown::new();
    let mut tasks = supervisor::Supervisor::new(finished.clone());
    supervise(&mut tasks, &state, sockets);
    let running = tokio::spawn(tasks.run());
    shutdown.requested().await;
    callers::drain(&state).await;
    finished.request();
    if let Err(error) = running.await {
        log::error!(error:% = error; "a task panicked during shutdown");
    }
    log::info!(host:% = state.identity.host; "stopped");
    logs::flush();
    Ok(())
}

fn supervise(
    tasks: &mut supervisor::Supervisor,
    state: &sync::Arc<state::State>,
    sockets: listeners::Sockets,
) {
    let listeners::Sockets {
        callers,
        readiness,
        lookups,
        control,
        metrics,
    } = sockets;
    let shared = sync::Arc::clone(state);
    tasks.spawn("callers", move || {
        callers::serve(sync::Arc::clone(&callers), sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tasks.spawn("readiness", move || {
        readiness::serve(sync::Arc::clone(&readiness), sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tasks.spawn("lookups", move || {
        lookups::serve(sync::Arc::clone(&lookups), sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tasks.spawn("peers", move || {
        peers::serve(sync::Arc::clone(&control), sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tasks.spawn("hear reports", move || {
        reports::receive(sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tasks.spawn("tell reports", move || {
        reports::send(sync::Arc::clone(&shared))
    });
    if let Some(listener) = metrics {
        let shared = sync::Arc::clone(state);
        tasks.spawn("metrics", move || {
            metrics::serve(sync::Arc::clone(&listener), sync::Arc::clone(&shared))
        });
    }
    for table in feed::WATCHED {
        let shared = sync::Arc::clone(state);
        tasks.spawn("store", move || {
            feed::watch(table, sync::Arc::clone(&shared))
        });
    }
    let shared = sync::Arc::clone(state);
    tasks.spawn("hosts", move || feed::register(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    tasks.spawn("reconcile", move || {
        reconcile::run(sync::Arc::clone(&shared))
    });
    for table in feed::WATCHED {
        let shared = sync::Arc::clone(state);
        tasks.spawn("catch up", move || {
            pull::run(table, sync::Arc::clone(&shared))
        });
    }
    let shared = sync::Arc::clone(state);
    tasks.spawn("line", move || queue::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    tasks.spawn("settings", move || reload::watch(sync::Arc::clone(&shared)));
}
