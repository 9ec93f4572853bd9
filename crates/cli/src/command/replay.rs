//! `skylark replay`: recomputes recorded decisions and compares the results.

use std::collections;

use skylark_core::decision;
use skylark_core::unit;

use crate::decisions;
use crate::error;
use crate::options;
use crate::print;
use crate::session;

/// Result of the replay of one decision.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Replayed {
    id: String,
    version: unit::Version,
    is_same: bool,
    differences: Vec<String>,
}

/// Results of a replay; only decisions that differ are listed.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Summary {
    replayed: usize,
    unreadable: usize,
    different: Vec<Replayed>,
}

/// Replays one decision or all of them.
///
/// # Errors
///
/// Fails when a result differs from its record, or a record cannot be found or parsed.
pub async fn run(session: &session::Session, flags: &options::Replay) -> error::Result<()> {
    let platform = session.platform()?;
    let decisions = match (&flags.id, flags.all) {
        (Some(id), false) => decisions::Decisions {
            records: vec![decisions::find(&platform, id).await?],
            unreadable: 0,
        },
        (None, true) => decisions::read_all(&platform).await?,
        _ => {
            let text =
                "no decision was selected: name the id of one request, or give --all".to_owned();
            return Err(error::Error::Usage(text));
        }
    };
    let records = &decisions.records;
    let versions: collections::BTreeSet<unit::Version> =
        records.iter().map(|decision| decision.version).collect();
    let catalogs = session.store()?.catalogs(&versions).await?;
    let replayed = records.iter().map(|decision| {
        let replay = catalogs
            .get(&decision.version)
            .map(|catalog| decision.replay(catalog));
        compare(decision, replay)
    });
    let different: Vec<Replayed> = replayed.filter(|replayed| !replayed.is_same).collect();
    let summary = Summary {
        replayed: records.len(),
        unreadable: decisions.unreadable,
        different,
    };
    session.output(&summary, &format_text(&summary, flags.id.as_deref()))?;
    check(&summary)
}

fn compare(decision: &decision::Decision, replay: Option<decision::Replay>) -> Replayed {
    let differences = match replay {
        Some(decision::Replay::Same) => Vec::new(),
        Some(decision::Replay::Differs(found)) => found.iter().map(ToString::to_string).collect(),
        Some(decision::Replay::OtherVersion { recorded, given }) => {
            vec![format!(
                "recorded with version {recorded}, given version {given}"
            )]
        }
        Some(decision::Replay::NewerSchema(schema)) => {
            vec![format!("schema {schema} is newer than this build reads")]
        }
        None => vec![format!(
            "no stored change has version {}, so its records cannot be rebuilt",
            decision.version
        )],
    };
    Replayed {
        id: decision.id.to_string(),
        version: decision.version,
        is_same: differences.is_empty(),
        differences,
    }
}

fn format_text(summary: &Summary, id: Option<&str>) -> String {
    let lines = summary.different.iter().map(|replayed| {
        let label = print::styled(print::ERROR, "differs:");
        format!(
            "{label} {}: {}\n",
            replayed.id,
            replayed.differences.join("; ")
        )
    });
    let lines: String = lines.collect();
    let same = summary.replayed - summary.different.len();
    match id {
        Some(id) if same == 1 => format!("{id}: comes out as recorded"),
        Some(_) => lines.trim_end().to_owned(),
        None => format!(
            "{lines}{same} of {} decisions come out as recorded, {} cannot be read",
            summary.replayed, summary.unreadable
        ),
    }
}

fn check(summary: &Summary) -> error::Result<()> {
    if summary.different.is_empty() && summary.unreadable == 0 {
        return Ok(());
    }
    let text = format!(
        "{} decisions differ from their records, {} cannot be read",
        summary.different.len(),
        summary.unreadable
    );
    Err(error::Error::Differs(text))
}
