//! The commands, one module each.

mod apply;
mod check;
mod drain;
mod get;
mod key;

use super::error;
use super::options;
use super::session;

/// Runs one command.
///
/// # Errors
///
/// Fails as the command fails.
pub async fn run(session: &session::Session, command: options::SkylarkCmd) -> error::Result<()> {
    use options::SkylarkCmd as Command;
    match command {
        Command::Check(flags) => check::run(session, &flags),
        Command::Apply(flags) => apply::run(session, &flags).await,
        Command::Get(flags) => get::run(session, &flags).await,
        Command::Key(flags) => match flags.subcommand {
            options::KeyCmd::Issue(flags) => key::issue(session, &flags).await,
            options::KeyCmd::Withdraw(flags) => key::withdraw(session, &flags).await,
        },
        Command::Drain(flags) => drain::run(session, &flags).await,
    }
}

/// What a command that writes prints.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct Accepted {
    /// The newest version after the command.
    pub version: skylark_core::unit::Version,
    /// Records that were put.
    pub put: usize,
    /// Records that were removed.
    pub removed: usize,
}
