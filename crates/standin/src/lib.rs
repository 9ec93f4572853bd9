//! Test doubles (stand-ins) for the platform and for targets, with fault injection over HTTP.

mod error;
mod options;
mod platform;
mod target;

pub use error::{Error, Result};

/// Runs the stand-in that the command line selects.
///
/// # Errors
///
/// Fails on a malformed target, or when the runtime cannot start or an address cannot be bound.
pub fn run() -> Result<()> {
    let options = options::Options::from_args()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads)
        .enable_all()
        .build()?;
    match options.command {
        options::Command::Platform(address) => runtime.block_on(platform::serve(address)),
        options::Command::Targets(targets) => runtime.block_on(target::serve(&targets)),
    }
}
