//! Session of one command: platform address, output format and rollout wait.

use std::env;
use std::io::Write as _;
use std::time;

use skylark_core::unit;
use skylark_wire::platform;

use super::command;
use super::error;
use super::options;
use super::print;
use super::rollout;
use super::store;

const DEFAULT_WAIT: time::Duration = time::Duration::from_secs(30);
const PLATFORM_ENV: &str = "SKYLARK_PLATFORM";

/// Global options that all commands share.
#[derive(Clone, Debug)]
pub struct Session {
    url: Option<String>,
    format: Format,
    wait: time::Duration,
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Tables and sentences for people.
    Text,
    /// JSON for programs.
    Json,
}

impl Session {
    /// Returns the output format.
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
            error::Error::Usage(format!(
                "the platform's address is missing: give --platform URL or set {PLATFORM_ENV}"
            ))
        })?;
        Ok(platform::Client::new(url))
    }

    /// Reads all records of the newest version; warns of rows that cannot be parsed.
    ///
    /// # Errors
    ///
    /// Fails when the platform is not named or the records cannot be read.
    pub async fn snapshot(&self) -> error::Result<store::Snapshot> {
        let snapshot = self.store()?.snapshot().await?;
        for (id, reason) in &snapshot.unreadable {
            print::warning(&format!(
                "record '{id}' cannot be parsed and is not in force: {reason}; correct it, or remove it with `skylark remove {id}`"
            ));
        }
        Ok(snapshot)
    }

    /// Returns the store of the records on the platform.
    ///
    /// # Errors
    ///
    /// Fails when no address of the platform was given.
    pub fn store(&self) -> error::Result<store::Store<platform::Client>> {
        Ok(store::Store::new(self.platform()?))
    }

    /// Waits until a version is in force in every zone that sends heartbeats; returns its stage.
    ///
    /// Waits for at most the time given with `--wait`.
    ///
    /// # Errors
    ///
    /// Fails when no address of the platform was given.
    pub async fn wait_for_rollout(&self, version: unit::Version) -> error::Result<rollout::Stage> {
        Ok(rollout::wait(&self.platform()?, version, self.wait).await)
    }

    /// Checks the stage of a version; with `--wait 0s` every stage passes.
    ///
    /// # Errors
    ///
    /// Fails when the version is not in force in every zone.
    pub const fn check_stage(
        &self,
        version: unit::Version,
        stage: rollout::Stage,
    ) -> error::Result<()> {
        match stage {
            _ if self.wait.is_zero() => Ok(()),
            rollout::Stage::Written => Err(error::Error::NotAccepted(version)),
            rollout::Stage::Accepted => Err(error::Error::Pending(version)),
            rollout::Stage::InForce => Ok(()),
        }
    }

    /// Prints a value as JSON or a sentence as text, depending on the output format.
    ///
    /// # Errors
    ///
    /// Fails when the output cannot be written.
    pub fn output<T: serde::Serialize>(&self, value: &T, sentence: &str) -> error::Result<()> {
        let mut out = anstream::stdout().lock();
        match self.format {
            Format::Text => writeln!(out, "{sentence}")?,
            Format::Json => writeln!(out, "{}", serde_json::to_string(value)?)?,
        }
        Ok(())
    }
}

/// Runs one command.
///
/// # Errors
///
/// Returns the error of the command, or fails when the runtime cannot be started.
pub fn run(options: options::Skylark) -> error::Result<()> {
    let session = Session {
        url: options.platform.or_else(|| env::var(PLATFORM_ENV).ok()),
        format: if options.json {
            Format::Json
        } else {
            Format::Text
        },
        wait: options.wait.map_or(DEFAULT_WAIT, unit::HumanDuration::get),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(command::run(&session, options.subcommand))
}
