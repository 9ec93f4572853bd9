//! Entry, look-up and control of one host in one process, on the users' platform.

mod answer;
mod asks;
mod body;
mod callers;
mod connections;
mod error;
mod exchange;
mod follow;
mod knowledge;
mod lookups;
mod memory;
mod message;
mod metrics;
mod peers;
mod pipeline;
mod readiness;
mod reports;
mod serve;
mod settings;
mod state;
mod waiting;

use std::io::Write as _;
use std::sync;

use skylark_runtime::logs;
use skylark_runtime::supervisor;
use tokio::signal::unix;

pub use error::{Error, Result};

/// Runs the host process that the environment's settings file describes.
///
/// # Errors
///
/// Fails on wrong settings or an address that cannot be bound.
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
    let stop = skylark_runtime::shutdown::Shutdown::with_signals()?;
    // A reload that comes before the settings are watched must not end the process.
    let _reload = unix::signal(unix::SignalKind::hangup())?;
    let settings = skylark_platform::settings::load(&path)?;
    let sockets = serve::Sockets::bind(&settings, metrics).await?;
    let reports = serve::bind_reports(&settings).await?;
    let state = sync::Arc::new(state::State::new(path, settings, reports)?);
    log::info!(host:% = state.identity.host, life = state.life, zone:% = state.identity.zone; "started");
    let finished = skylark_runtime::shutdown::Shutdown::new();
    let mut tree = supervisor::Supervisor::new(finished.clone());
    supervise(&mut tree, &state, sockets);
    let tasks = tokio::spawn(tree.run());
    stop.requested().await;
    callers::leave(&state).await;
    finished.request();
    if let Err(fault) = tasks.await {
        log::error!(error:% = fault; "a task panicked during the stop");
    }
    log::info!(host:% = state.identity.host; "stopped");
    logs::flush();
    Ok(())
}

fn supervise(
    tree: &mut supervisor::Supervisor,
    state: &sync::Arc<state::State>,
    sockets: serve::Sockets,
) {
    let serve::Sockets {
        callers,
        readiness,
        lookups,
        control,
        metrics,
    } = sockets;
    let shared = sync::Arc::clone(state);
    tree.spawn("callers", move || {
        callers::serve(sync::Arc::clone(&callers), sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tree.spawn("readiness", move || {
        readiness::serve(sync::Arc::clone(&readiness), sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tree.spawn("lookups", move || {
        lookups::serve(sync::Arc::clone(&lookups), sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tree.spawn("peers", move || {
        peers::serve(sync::Arc::clone(&control), sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tree.spawn("hear reports", move || {
        reports::hear(sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tree.spawn("tell reports", move || {
        reports::tell(sync::Arc::clone(&shared))
    });
    if let Some(listener) = metrics {
        let shared = sync::Arc::clone(state);
        tree.spawn("metrics", move || {
            metrics::serve(sync::Arc::clone(&listener), sync::Arc::clone(&shared))
        });
    }
    for table in follow::FOLLOWED {
        let shared = sync::Arc::clone(state);
        tree.spawn("store", move || {
            follow::run(table, sync::Arc::clone(&shared))
        });
    }
    let shared = sync::Arc::clone(state);
    tree.spawn("hosts", move || follow::join(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    tree.spawn("catch up", move || {
        peers::catch_up(sync::Arc::clone(&shared))
    });
    let shared = sync::Arc::clone(state);
    tree.spawn("line", move || waiting::run(sync::Arc::clone(&shared)));
    let shared = sync::Arc::clone(state);
    tree.spawn("settings", move || {
        settings::watch(sync::Arc::clone(&shared))
    });
}
