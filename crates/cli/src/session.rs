//! One run of the command line.

use std::env;
use std::io::Write as _;
use std::time;

use skylark_core::unit;
use skylark_wire::platform;

use super::command;
use super::error;
use super::options;
use super::roster;
use super::store;

const DEFAULT_WAIT: time::Duration = time::Duration::from_secs(30);
const PLATFORM_VARIABLE: &str = "SKYLARK_PLATFORM";

/// What a command needs besides its own flags.
#[derive(Clone, Debug)]
pub struct Session {
    url: Option<String>,
    format: Format,
    wait: time::Duration,
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

    /// Returns a client of the platform.
    ///
    /// # Errors
    ///
    /// Fails when no address of the platform was given.
    pub fn platform(&self) -> error::Result<platform::Client> {
        let url = self.url.as_deref().ok_or_else(|| {
            error::Error::Usage(format!("give --platform URL or set {PLATFORM_VARIABLE}"))
        })?;
        Ok(platform::Client::new(url))
    }

    /// Returns the records as the platform holds them.
    ///
    /// # Errors
    ///
    /// Fails when no address of the platform was given.
    pub fn store(&self) -> error::Result<store::Store<platform::Client>> {
        Ok(store::Store::new(self.platform()?))
    }

    /// Waits until a version is in force in every zone that is heard, and tells how far it came.
    ///
    /// # Errors
    ///
    /// Fails when no address of the platform was given.
    pub async fn wait(&self, version: unit::Version) -> error::Result<roster::Reach> {
        Ok(roster::wait(&self.platform()?, version, self.wait).await)
    }

    /// Judges how far a version came, unless no wait was asked for.
    ///
    /// # Errors
    ///
    /// Fails when the version is not in force everywhere.
    pub const fn judge(&self, version: unit::Version, reach: roster::Reach) -> error::Result<()> {
        match reach {
            _ if self.wait.is_zero() => Ok(()),
            roster::Reach::Written => Err(error::Error::Unaccepted(version)),
            roster::Reach::Accepted => Err(error::Error::Pending(version)),
            roster::Reach::InForce => Ok(()),
        }
    }

    /// Prints a value as JSON, or a sentence for people.
    ///
    /// # Errors
    ///
    /// Fails when the output cannot be written.
    pub fn say<T: serde::Serialize>(&self, value: &T, sentence: &str) -> error::Result<()> {
        let mut out = anstream::stdout().lock();
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
        wait: options.wait.map_or(DEFAULT_WAIT, unit::HumanDuration::get),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(command::run(&session, options.subcommand))
}
