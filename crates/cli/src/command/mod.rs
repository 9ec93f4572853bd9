//! The commands, one module each.

mod apply;
mod burn;
mod check;
mod diff;
mod drain;
mod get;
mod key;
mod remove;
mod replay;
mod shift;
mod status;

use skylark_core::unit;

use super::error;
use super::options;
use super::roster;
use super::session;
use super::store;

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
        Command::Diff(flags) => diff::run(session, &flags).await,
        Command::Get(flags) => get::run(session, &flags).await,
        Command::Remove(flags) => remove::run(session, &flags).await,
        Command::Key(flags) => match flags.subcommand {
            options::KeyCmd::Issue(flags) => key::issue(session, &flags).await,
            options::KeyCmd::Withdraw(flags) => key::withdraw(session, &flags).await,
        },
        Command::Shift(flags) => shift::run(session, &flags).await,
        Command::Drain(flags) => drain::run(session, &flags).await,
        Command::Status(_) => status::run(session).await,
        Command::Replay(flags) => replay::run(session, &flags).await,
        Command::Burn(flags) => burn::run(session, &flags).await,
    }
}

/// What a command that writes prints.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
struct Accepted {
    /// The newest version after the command.
    version: unit::Version,
    /// Records that were put.
    put: usize,
    /// Records that were removed.
    removed: usize,
    /// How far the change has come.
    reach: roster::Reach,
}

/// Commits an edit, waits until it is in force everywhere, and says how far it came.
///
/// # Errors
///
/// Fails when the edit is refused, or not in force everywhere in time.
async fn commit(
    session: &session::Session,
    base: &store::Snapshot,
    edit: store::Edit,
    what: &str,
) -> error::Result<()> {
    let (put, removed) = (edit.put.len(), edit.removed.len());
    let version = if edit.is_empty() {
        base.head.version
    } else {
        session.store()?.commit(base, edit).await?
    };
    let reach = session.wait(version).await?;
    let accepted = Accepted {
        version,
        put,
        removed,
        reach,
    };
    let state = match reach {
        roster::Reach::Written => "written",
        roster::Reach::Accepted => "accepted",
        roster::Reach::InForce => "in force",
    };
    let sentence = if put + removed == 0 {
        format!("nothing to change, version {version} is {state}: {what}")
    } else {
        format!("version {version} is {state}: {what}")
    };
    session.say(&accepted, &sentence)?;
    session.judge(version, reach)
}
