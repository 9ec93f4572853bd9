//! `skylark replay`: runs recorded decisions again and compares.

use std::collections;

use skylark_core::decision;
use skylark_core::unit;

use crate::decisions;
use crate::error;
use crate::options;
use crate::print;
use crate::session;

/// What running one decision again came to.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Replayed {
    id: String,
    version: unit::Version,
    is_same: bool,
    differences: Vec<String>,
}

/// What running decisions again came to.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Report {
    replayed: usize,
    unreadable: usize,
    different: Vec<Replayed>,
}

/// Runs one decision again, or all.
///
/// # Errors
///
/// Fails when a decision comes out otherwise than recorded, or cannot be found or read.
pub async fn run(session: &session::Session, flags: &options::Replay) -> error::Result<()> {
    let platform = session.platform()?;
    let decisions = match (&flags.id, flags.all) {
        (Some(id), false) => decisions::Decisions {
            records: vec![decisions::find(&platform, id).await?],
            unreadable: 0,
        },
        (None, true) => decisions::all(&platform).await?,
        _ => {
            let text = "name the id of one request, or give --all".to_owned();
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
        replayed(decision, replay)
    });
    let different: Vec<Replayed> = replayed.filter(|replayed| !replayed.is_same).collect();
    let report = Report {
        replayed: records.len(),
        unreadable: decisions.unreadable,
        different,
    };
    session.say(&report, &sentence(&report, flags.id.as_deref()))?;
    judge(&report)
}

fn replayed(decision: &decision::Decision, replay: Option<decision::Replay>) -> Replayed {
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
            "no change tells the records of version {}",
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

fn sentence(report: &Report, id: Option<&str>) -> String {
    let lines = report.different.iter().map(|replayed| {
        let label = print::styled(print::BAD, "differs:");
        format!(
            "{label} {}: {}\n",
            replayed.id,
            replayed.differences.join("; ")
        )
    });
    let lines: String = lines.collect();
    let same = report.replayed - report.different.len();
    match id {
        Some(id) if same == 1 => format!("{id}: comes out as recorded"),
        Some(_) => lines.trim_end().to_owned(),
        None => format!(
            "{lines}{same} of {} decisions come out as recorded, {} cannot be read",
            report.replayed, report.unreadable
        ),
    }
}

fn judge(report: &Report) -> error::Result<()> {
    if report.different.is_empty() && report.unreadable == 0 {
        return Ok(());
    }
    let text = format!(
        "{} decisions come out otherwise, {} cannot be read",
        report.different.len(),
        report.unreadable
    );
    Err(error::Error::Differs(text))
}
