//! `skylark status`: shows which entry hosts live, and what they have in force.

use skylark_core::record;
use skylark_wire::control;

use crate::error;
use crate::print;
use crate::roster;
use crate::session;
use crate::store;
use crate::table;

/// What is printed for programs.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Status<'a> {
    head: &'a record::Head,
    records: usize,
    hosts: Vec<&'a roster::Life>,
    drains: Vec<&'a record::Drain>,
    shifts: Vec<&'a record::Shift>,
}

/// Shows the newest version, the entry hosts, drains and shifts.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn run(session: &session::Session) -> error::Result<()> {
    let base = session.store()?.snapshot().await?;
    let roster = roster::Roster::watch(&session.platform()?, roster::SILENCE).await?;
    let records = || base.records.values();
    let status = Status {
        head: &base.head,
        records: base.records.len(),
        hosts: roster.lives().collect(),
        drains: records()
            .filter_map(|record| record.drain.as_ref())
            .collect(),
        shifts: records()
            .filter_map(|record| record.shift.as_ref())
            .collect(),
    };
    if session.format() == session::Format::Programs {
        return session.say(&status, "");
    }
    print_people(session, &base, &status)
}

fn print_people(
    session: &session::Session,
    base: &store::Snapshot,
    status: &Status<'_>,
) -> error::Result<()> {
    let version = base.head.version;
    let sentence = format!("version {version}, {} records", status.records);
    session.say(&(), &sentence)?;
    let rows: Vec<Vec<String>> = status.hosts.iter().map(|life| row(base, life)).collect();
    table::print(&["host", "zone", "version", "state", "incarnation"], &rows)?;
    for drain in &status.drains {
        let subject = match &drain.subject {
            record::Subject::Target(name) => format!("target {name}"),
            record::Subject::Zone(name) => format!("zone {name}"),
            record::Subject::Host(name) => format!("host {name}"),
        };
        session.say(&(), &format!("drained: {subject}"))?;
    }
    for shift in &status.shifts {
        let record::Shift {
            service,
            from,
            to,
            part,
            cap,
            ..
        } = shift;
        let line = format!("shifted: {part} of {service} from {from} to {to}, at most {cap}");
        session.say(&(), &line)?;
    }
    Ok(())
}

fn row(base: &store::Snapshot, life: &roster::Life) -> Vec<String> {
    let (style, state) = if !life.is_heard {
        (print::BAD, "silent")
    } else if life.phase == control::Phase::Leaving {
        (print::WARN, "leaving")
    } else if life.version < base.head.version {
        (print::WARN, "behind")
    } else {
        (print::GOOD, "serving")
    };
    vec![
        life.host.to_string(),
        life.zone.to_string(),
        life.version.to_string(),
        print::styled(style, state),
        life.incarnation.to_string(),
    ]
}
