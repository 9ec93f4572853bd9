//! The operator's command line: it reads and writes records and nothing else.

mod command;
mod error;
mod files;
mod options;
mod random;
mod session;
mod store;
mod table;

use std::process;

pub use error::{Error, Result};
pub use files::Fault;

/// Runs the command that the command line names and returns its exit code.
#[must_use]
pub fn run() -> process::ExitCode {
    let options = options::Skylark::from_env_or_exit();
    match session::run(options) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            process::ExitCode::from(error.exit_code())
        }
    }
}
