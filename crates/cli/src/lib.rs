//! Command line for operators, which reads and writes the records on the platform.

mod command;
mod decisions;
mod error;
mod files;
mod options;
mod print;
mod random;
mod rollout;
mod session;
mod store;
mod table;

use std::env;
use std::ffi;
use std::io;
use std::process;

pub use error::{Error, Result};
pub use files::Diagnostic;

/// Runs the command given in the process arguments and returns its exit code.
#[must_use]
pub fn run() -> process::ExitCode {
    let arguments: Vec<ffi::OsString> = env::args_os().skip(1).collect();
    let texts: Vec<String> = arguments
        .iter()
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    if texts.iter().any(|text| text == "--version" || text == "-V") {
        anstream::println!("skylark {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    let is_json = texts.iter().any(|text| text == "--json");
    let result = match options::Skylark::from_vec(arguments) {
        Ok(options) => session::run(options),
        Err(error) if error.is_help() => {
            anstream::println!("{error}");
            return process::ExitCode::SUCCESS;
        }
        Err(error) => Err(error::Error::usage(
            &error.to_string(),
            options::suggestion(&texts),
        )),
    };
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        // A reader such as `head` may close the pipe early, which is no failure.
        Err(error::Error::Output(source)) if source.kind() == io::ErrorKind::BrokenPipe => {
            process::ExitCode::SUCCESS
        }
        Err(error) => {
            print::failure(&error, is_json);
            process::ExitCode::from(error.exit_code())
        }
    }
}
