//! Client of skylarkmount that sends single requests or an open-loop load of several accounts.

mod account;
mod call;
mod caller;
mod error;
mod load;
mod options;
mod report;

pub use error::{Error, Result};

/// Runs the command that the command line selects.
///
/// # Errors
///
/// Fails on a malformed account, when no entry host is found, when a single request gets no
/// complete response, or when the output cannot be written.
pub fn run() -> Result<()> {
    let options = options::Options::from_args()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads)
        .enable_all()
        .build()?;
    match options.command {
        options::Command::Call(call) => runtime.block_on(call::run(&call)),
        options::Command::Load(load) => runtime.block_on(load::run(&load)),
    }
}
