//! Periodic rounds on the platform's table: newest version, records, roster and heartbeats.

use std::sync;
use std::time;

use skylark_core::instant;
use skylark_core::member;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use super::heartbeat;
use super::state;

const HEAD_KEY: &str = "head";
const RECORD_PREFIX: &str = "record/";
const CHANGE_PREFIX: &str = "change/";

/// Most changes that are read one by one; beyond that, all records are read.
const MAX_SINGLE_CHANGES: u64 = 16;

/// Poll periods for which a proof from a peer spares a host its own read of the table.
const MAX_RELAYED_POLLS: u32 = 3;

/// Runs rounds on the table until the task is dropped.
///
/// # Errors
///
/// Never fails: a round that fails is tried again after the poll period.
pub async fn run(state: sync::Arc<state::State>) -> platform::Result<()> {
    let mut heartbeats = heartbeat::Heartbeats::new();
    loop {
        if must_read_table(&state) {
            if let Err(error) = run_round(&state, &mut heartbeats).await {
                log::debug!(error:% = error; "round on the table failed; retrying after the poll period");
            }
            state.notify();
        }
        tokio::time::sleep(state.settings.poll.get()).await;
    }
}

/// Returns whether this host must read the table itself.
///
/// That holds for a member, for a host whose zone has no other live member, and for a host
/// without a recent proof of freshness from its peers.
fn must_read_table(state: &state::State) -> bool {
    let now = state.clock.now();
    let max_age = state.settings.poll.get() * MAX_RELAYED_POLLS;
    let silence_timeout = state.settings.silence_timeout();
    state.with(|control| {
        let member = control.node.roster().zone_member(&state.settings.zone);
        let has_live_member = member.is_some_and(|m| {
            m.host != state.settings.host
                && !control.is_silent(&m.incarnation, silence_timeout, now)
        });
        let proof = control.node.proof(now);
        let is_relayed = proof.is_some_and(|proof| proof.age(now) < max_age);
        control.node.is_member() || !has_live_member || !is_relayed
    })
}

async fn run_round(
    state: &state::State,
    heartbeats: &mut heartbeat::Heartbeats,
) -> platform::Result<()> {
    let (head_row, head) = read_head(state).await?;
    let (roster_row, roster) = read_roster(state).await?;
    heartbeats.run_round(state).await?;
    let now = state.clock.now();
    let next = state.with(|control| {
        if control.node.has_left() {
            return None;
        }
        let silence_timeout = state.settings.silence_timeout();
        let generation = control.node.roster().generation;
        let is_silent = |m: &member::Member, times: u32| {
            control.is_silent(&m.incarnation, silence_timeout * times, now)
        };
        let ended = ended_hosts(&control.records);
        member::reconfigure(&roster, &state.member, generation, head, is_silent, &ended)
    });
    if let Some(next) = next {
        let conditions = vec![
            condition(member::ROSTER_KEY, roster_row),
            condition(HEAD_KEY, head_row),
        ];
        write_roster(state, conditions, &next).await?;
    }
    Ok(())
}

/// Returns the hosts that an operator declared stopped for good.
fn ended_hosts(records: &[record::Document]) -> Vec<name::Host> {
    let drains = records
        .iter()
        .filter_map(|document| document.drain.as_ref());
    let ended = drains.filter_map(|drain| match &drain.subject {
        record::Subject::Ended(host) => Some(host.clone()),
        _other => None,
    });
    ended.collect()
}

/// Reads the newest version, applies its records and records the evidence of freshness.
///
/// Returns the version of the head row and the newest version of the records.
async fn read_head(state: &state::State) -> platform::Result<(u64, unit::Version)> {
    let asked = state.clock.now();
    let row = state.platform.row(HEAD_KEY).await?;
    let row_version = row.as_ref().map_or(0, |row| row.version);
    let head: record::Head = row.map(decode).transpose()?.unwrap_or_default();
    let installed = state.with(|control| control.config.version());
    if head.version > installed {
        read_changes(state, installed, head.version).await?;
    }
    state.with(|control| control.node.on_head(asked, head.version));
    Ok((row_version, head.version))
}

async fn read_changes(
    state: &state::State,
    installed: unit::Version,
    head: unit::Version,
) -> platform::Result<()> {
    if installed == unit::Version::NONE || head.get() - installed.get() > MAX_SINGLE_CHANGES {
        return read_all(state).await;
    }
    for version in installed.get() + 1..=head.get() {
        match read_change(state, version).await {
            Ok(Some(change)) => state.with(|control| control.apply(&[change])),
            Ok(None) => return read_all(state).await,
            Err(platform::Error::BadAnswer { reason }) => {
                log::error!(version, reason = reason.as_str(); "change not understood; reading all records");
                return read_all(state).await;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

async fn read_change(
    state: &state::State,
    version: u64,
) -> platform::Result<Option<record::Change>> {
    let key = format!("{CHANGE_PREFIX}{version}");
    state.platform.row(&key).await?.map(decode).transpose()
}

/// Reads all records, and applies them only if no version was written during the read.
async fn read_all(state: &state::State) -> platform::Result<()> {
    let before = head_version(state).await?;
    let rows = state.platform.rows(RECORD_PREFIX).await?;
    let records: Vec<record::Document> = rows
        .into_iter()
        .filter_map(|row| read_record(state, row))
        .collect();
    if head_version(state).await? == before {
        state.with(|control| control.replace(before, &records));
    }
    Ok(())
}

/// Returns the record of a row, or the one in force in place of one that is not understood.
fn read_record(state: &state::State, row: platform::Row) -> Option<record::Document> {
    let id = row.key.trim_start_matches(RECORD_PREFIX).to_owned();
    let error = match decode(row) {
        Ok(record) => return Some(record),
        Err(error) => error,
    };
    let in_force = state.with(|control| control.config.document(&id).cloned());
    log::error!(record = id.as_str(), error:% = error, kept = in_force.is_some(); "record not understood; keeping the one in force, if any");
    in_force
}

async fn head_version(state: &state::State) -> platform::Result<unit::Version> {
    let row = state.platform.row(HEAD_KEY).await?;
    let head: Option<record::Head> = row.map(decode).transpose()?;
    Ok(head.unwrap_or_default().version)
}

/// Reads the roster into the control state, and returns the version of its row and the roster.
async fn read_roster(state: &state::State) -> platform::Result<(u64, member::Roster)> {
    let row = state.platform.row(member::ROSTER_KEY).await?;
    let version = row.as_ref().map_or(0, |row| row.version);
    let roster: member::Roster = row.map(decode).transpose()?.unwrap_or_default();
    let now = state.clock.now();
    state.with(|control| control.update_roster(&roster, now));
    Ok((version, roster))
}

/// Writes a roster under conditions.
///
/// A conflict is not an error: the next round reads the roster that another process wrote.
async fn write_roster(
    state: &state::State,
    conditions: Vec<platform::Condition>,
    roster: &member::Roster,
) -> platform::Result<()> {
    let write = platform::Write {
        key: member::ROSTER_KEY.to_owned(),
        value: Some(encode(roster)?),
    };
    let commit = platform::Commit {
        conditions,
        writes: vec![write],
    };
    match state.platform.commit(&commit).await {
        Ok(()) => {
            log::info!(generation = roster.generation, members = roster.members.len(),
                unsealed = roster.past.len(); "roster written");
            Ok(())
        }
        Err(platform::Error::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Leaves the roster for good, so that no member waits for confirmations of this incarnation.
///
/// # Errors
///
/// Fails when the table cannot be reached; the members then remove this incarnation once it is
/// silent.
pub async fn leave(state: &state::State) -> platform::Result<()> {
    state.with(|control| control.node.leave());
    let end = state.clock.now() + LEAVE_TIMEOUT;
    while state.clock.now() < end {
        let (head_row, head) = read_head(state).await?;
        let (roster_row, roster) = read_roster(state).await?;
        let incarnation = state.incarnation();
        if roster.member(incarnation).is_none() {
            return Ok(());
        }
        let next = roster
            .without_member(incarnation, head)
            .with_departed(incarnation, u64::MAX);
        let conditions = vec![
            condition(member::ROSTER_KEY, roster_row),
            condition(HEAD_KEY, head_row),
        ];
        write_roster(state, conditions, &next).await?;
    }
    Ok(())
}

const LEAVE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Returns the condition that a row still has a version, 0 meaning that it does not exist.
pub fn condition(key: &str, version: u64) -> platform::Condition {
    platform::Condition {
        key: key.to_owned(),
        version,
    }
}

/// Decodes the content of a row.
///
/// # Errors
///
/// Fails when the content is not of the expected type.
pub fn decode<T: serde::de::DeserializeOwned>(row: platform::Row) -> platform::Result<T> {
    let key = row.key;
    serde_json::from_value(row.value).map_err(|error| platform::Error::BadAnswer {
        reason: format!("row '{key}': {error}"),
    })
}

/// Encodes the content of a row.
///
/// # Errors
///
/// Fails when the content cannot be represented as JSON.
pub fn encode<T: serde::Serialize>(content: &T) -> platform::Result<serde_json::Value> {
    serde_json::to_value(content).map_err(|error| platform::Error::BadAnswer {
        reason: error.to_string(),
    })
}

/// Returns whether a periodic task is due: it never ran, or ran at least one period ago.
pub fn is_due(
    last: Option<instant::Instant>,
    period: time::Duration,
    now: instant::Instant,
) -> bool {
    last.is_none_or(|last| now.since(last) >= period)
}
