//! Stand-ins for the platform and for targets, which can be told to fail.

mod error;
mod options;
mod platform;
mod target;

pub use error::{Error, Result};

/// Runs the stand-in that the command line names.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub fn run() -> Result<()> {
    let options = options::Options::from_args()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads)
        .enable_all()
        .build()?;
    match options.part {
        options::Part::Platform(address) => runtime.block_on(platform::serve(address)),
        options::Part::Targets(hosts) => runtime.block_on(target::serve(&hosts)),
    }
}
