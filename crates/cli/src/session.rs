//! One run of the command line.

use std::env;
use std::io;
use std::io::Write as _;

use skylark_wire::platform;

use super::command;
use super::error;
use super::options;
use super::store;

const PLATFORM_VARIABLE: &str = "SKYLARK_PLATFORM";

/// What a command needs besides its own flags.
#[derive(Clone, Debug)]
pub struct Session {
    url: Option<String>,
    format: Format,
}

/// For whom output is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Tables and sentences.
    People,
    /// JSON.
    Programs,
}

impl Session {
    /// Returns for whom output is printed.
    #[must_use]
    pub const fn format(&self) -> Format {
        self.format
    }

    /// Returns the records as the platform holds them.
    ///
    /// # Errors
    ///
    /// Fails when no address of the platform was given.
    pub fn store(&self) -> error::Result<store::Store<platform::Client>> {
        let url = self.url.as_deref().ok_or_else(|| {
            error::Error::Usage(format!("give --platform URL or set {PLATFORM_VARIABLE}"))
        })?;
        Ok(store::Store::new(platform::Client::new(url)))
    }

    /// Prints a value as JSON, or a sentence for people.
    ///
    /// # Errors
    ///
    /// Fails when the output cannot be written.
    pub fn say<T: serde::Serialize>(&self, value: &T, sentence: &str) -> error::Result<()> {
        let mut out = io::stdout().lock();
        match self.format {
            Format::People => writeln!(out, "{sentence}")?,
            Format::Programs => writeln!(out, "{}", serde_json::to_string(value)?)?,
        }
        Ok(())
    }
}

/// Runs one command.
///
/// # Errors
///
/// Fails as the command fails.
pub fn run(options: options::Skylark) -> error::Result<()> {
    let session = Session {
        url: options
            .platform
            .or_else(|| env::var(PLATFORM_VARIABLE).ok()),
        format: if options.json {
            Format::Programs
        } else {
            Format::People
        },
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(command::run(&session, options.subcommand))
}
