//! Entry point of a daemon: command line, settings, logs and the async runtime.

use std::future;
use std::io;
use std::io::Write as _;
use std::num;
use std::path;

use super::error;
use super::logs;
use super::settings;

type File = path::PathBuf;

/// Runs a daemon until `start` completes, or only checks its settings (`--check`).
///
/// `process` names the daemon in its logs and version; `threads` returns the number of
/// worker threads.
///
/// # Errors
///
/// Fails on missing or invalid settings, or if the runtime or `start` fails.
pub fn run<S, F, R>(
    process: &'static str,
    threads: impl Fn(&S) -> num::NonZeroUsize,
    start: F,
) -> error::Result<()>
where
    S: serde::de::DeserializeOwned,
    F: FnOnce(S) -> R,
    R: future::Future<Output = error::Result<()>>,
{
    let flags = xflags::parse_or_exit! {
        /// Settings file in YAML
        optional settings: File
        /// Check the settings and exit
        optional --check
        /// Print the version and exit
        optional --version
    };
    if flags.version {
        return print_version(process);
    }
    let path = flags.settings.ok_or(error::Error::NoSettings)?;
    let settings: S = settings::load(&path)?;
    if flags.check {
        return Ok(());
    }
    logs::init(process);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads(&settings).get())
        .enable_all()
        .build()?;
    runtime.block_on(start(settings))
}

fn print_version(process: &str) -> error::Result<()> {
    writeln!(
        io::stdout(),
        "skylark-{process} {}",
        env!("CARGO_PKG_VERSION")
    )?;
    Ok(())
}
