//! `skylark status`: shows the state of availability zones, entry hosts, drains and shifts.

use skylark_core::record;
use skylark_wire::control;

use crate::error;
use crate::print;
use crate::rollout;
use crate::session;
use crate::store;
use crate::table;

/// Output of the command as JSON.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Status<'a> {
    head: &'a record::Head,
    records: usize,
    zones: Vec<&'a rollout::ZoneStatus>,
    hosts: &'a [rollout::EntryHost],
    drains: Vec<&'a record::Drain>,
    shifts: Vec<&'a record::Shift>,
}

/// Prints the newest version, the availability zones, entry hosts, drains and shifts.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn run(session: &session::Session) -> error::Result<()> {
    let platform = session.platform()?;
    let monitor = rollout::Monitor::observe(&platform, rollout::HEARTBEAT_TIMEOUT).await?;
    let hosts = rollout::hosts(&platform).await?;
    let base = session.snapshot().await?;
    let records = || base.records.values();
    let status = Status {
        head: &base.head,
        records: base.records.len(),
        zones: monitor.zones().collect(),
        hosts: &hosts,
        drains: records().filter_map(|r| r.drain.as_ref()).collect(),
        shifts: records().filter_map(|r| r.shift.as_ref()).collect(),
    };
    if session.format() == session::Format::Json {
        return session.output(&status, "");
    }
    print_text(session, &base, &status)
}

fn print_text(
    session: &session::Session,
    base: &store::Snapshot,
    status: &Status<'_>,
) -> error::Result<()> {
    let count = print::record_count(status.records);
    let line = format!("version {}, {count}", base.head.version);
    session.output(&(), &line)?;
    let zones: Vec<Vec<String>> = status.zones.iter().map(|z| zone_row(base, z)).collect();
    table::print(&["zone", "version", "state", "member"], &zones)?;
    let hosts: Vec<Vec<String>> = status.hosts.iter().map(host_row).collect();
    table::print(&["host", "zone", "phase", "incarnation"], &hosts)?;
    for drain in &status.drains {
        let (kind, name) = match &drain.subject {
            record::Subject::Target(name) => ("target", name.as_str()),
            record::Subject::Zone(name) => ("zone", name.as_str()),
            record::Subject::Host(name) => ("host", name.as_str()),
            record::Subject::Ended(name) => ("ended", name.as_str()),
        };
        session.output(&(), &format!("drained: {kind} {name}"))?;
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
        session.output(&(), &line)?;
    }
    Ok(())
}

fn zone_row(base: &store::Snapshot, zone: &rollout::ZoneStatus) -> Vec<String> {
    let (style, state) = if !zone.is_heard {
        (print::ERROR, "silent")
    } else if zone.version < base.head.version {
        (print::WARNING, "behind")
    } else {
        (print::SUCCESS, "in force")
    };
    vec![
        zone.zone.clone(),
        zone.version.to_string(),
        print::styled(style, state),
        zone.member.to_string(),
    ]
}

fn host_row(host: &rollout::EntryHost) -> Vec<String> {
    let phase = match host.phase {
        control::Phase::Starting => "starting",
        control::Phase::Serving => "serving",
        control::Phase::Leaving => "leaving",
    };
    vec![
        host.host.to_string(),
        host.zone.to_string(),
        phase.to_owned(),
        host.incarnation.to_string(),
    ]
}
