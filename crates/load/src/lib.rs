//! A caller of skylarkmount: single requests, and open-loop load for several client accounts.

mod account;
mod call;
mod caller;
mod error;
mod load;
mod options;
mod report;

pub use error::{Error, Result};

/// Runs what the command line asks for.
///
/// # Errors
///
/// Fails on a wrong command line or when no entry host can be found.
pub fn run() -> Result<()> {
    let options = options::Options::from_args()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads)
        .enable_all()
        .build()?;
    match options.work {
        options::Work::Call(call) => runtime.block_on(call::run(&call)),
        options::Work::Load(load) => runtime.block_on(load::run(&load)),
    }
}
