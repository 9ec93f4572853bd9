//! Commands of the command line, one module each.

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
use super::rollout;
use super::session;
use super::store;

/// Runs one command.
///
/// # Errors
///
/// Returns the error of the command.
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

/// Output of a command that writes records.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
struct Committed {
    /// Newest version after the command.
    version: unit::Version,
    /// Number of records that were put.
    put: usize,
    /// Number of records that were removed.
    removed: usize,
    /// Stage of the rollout.
    #[serde(rename = "reach")]
    stage: rollout::Stage,
}

/// Commits an edit, waits until it is in force in every zone and prints the outcome.
///
/// # Errors
///
/// Fails when the edit is rejected or not in force in every zone in time.
async fn commit(
    session: &session::Session,
    base: &store::Snapshot,
    edit: store::Edit,
    summary: &str,
) -> error::Result<()> {
    let (put, removed) = (edit.put.len(), edit.removed.len());
    let version = if edit.is_empty() {
        base.head.version
    } else {
        session.store()?.commit(base, edit).await?
    };
    let stage = session.wait_for_rollout(version).await?;
    let committed = Committed {
        version,
        put,
        removed,
        stage,
    };
    let status = match stage {
        rollout::Stage::Written => "written",
        rollout::Stage::Accepted => "accepted",
        rollout::Stage::InForce => "in force",
    };
    let sentence = if put + removed == 0 {
        format!("nothing to change, version {version} is {status}: {summary}")
    } else {
        format!("version {version} is {status}: {summary}")
    };
    session.output(&committed, &sentence)?;
    session.check_stage(version, stage)
}
