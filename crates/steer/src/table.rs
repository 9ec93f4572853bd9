//! Reading and writing the platform's table in rounds.

use std::sync;
use std::time;

use skylark_core::instant;
use skylark_core::member;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use super::beat;
use super::state;

const HEAD_KEY: &str = "head";
const RECORD_PREFIX: &str = "record/";
const CHANGE_PREFIX: &str = "change/";
const MOST_CHANGES: u64 = 16;

/// Polls that a host may leave out while its peers keep it fresh.
const RELAYED_POLLS: u32 = 3;

/// Reads the newest version and keeps the roster until the task is dropped.
///
/// # Errors
///
/// Never fails: a round that fails is tried again after the pause.
pub async fn run(state: sync::Arc<state::State>) -> platform::Result<()> {
    let mut beats = beat::Beats::new();
    loop {
        if needs_table(&state) {
            if let Err(error) = round(&state, &mut beats).await {
                log::debug!(error:% = error; "table not reached");
            }
            state.tell();
        }
        tokio::time::sleep(state.settings.poll.get()).await;
    }
}

/// Returns whether this host reads the table itself: a member, or one whom no peer keeps fresh.
fn needs_table(state: &state::State) -> bool {
    let now = state.clock.now();
    let limit = state.settings.poll.get() * RELAYED_POLLS;
    let patience = state.settings.patience();
    state.with(|known| {
        let member = known.node.roster().zone_member(&state.settings.zone);
        let is_led = member.is_some_and(|m| {
            m.host != state.settings.host && !known.is_silent(&m.incarnation, patience, now)
        });
        let proof = known.node.proof(now);
        let is_relayed = proof.is_some_and(|proof| proof.age(now) < limit);
        known.node.is_member() || !is_led || !is_relayed
    })
}

async fn round(state: &state::State, beats: &mut beat::Beats) -> platform::Result<()> {
    let (row, head) = read_head(state).await?;
    let (version, roster) = read_roster(state).await?;
    beats.round(state).await?;
    let now = state.clock.now();
    let next = state.with(|known| {
        if known.node.has_left() {
            return None;
        }
        let patience = state.settings.patience();
        let generation = known.node.roster().generation;
        let is_silent =
            |m: &member::Member, times: u32| known.is_silent(&m.incarnation, patience * times, now);
        let ended = ended(&known.records);
        member::reconfigure(&roster, &state.me, generation, head, is_silent, &ended)
    });
    if let Some(next) = next {
        let conditions = vec![
            condition(member::ROSTER_KEY, version),
            condition(HEAD_KEY, row),
        ];
        write_roster(state, conditions, &next).await?;
    }
    Ok(())
}

/// Returns the hosts that are off for good, by the operator's word.
fn ended(records: &[record::Document]) -> Vec<name::Host> {
    let drains = records
        .iter()
        .filter_map(|document| document.drain.as_ref());
    let ended = drains.filter_map(|drain| match &drain.subject {
        record::Subject::Ended(host) => Some(host.clone()),
        _other => None,
    });
    ended.collect()
}

/// Reads the newest version, puts it in force, and keeps the evidence.
async fn read_head(state: &state::State) -> platform::Result<(u64, unit::Version)> {
    let asked = state.clock.now();
    let row = state.platform.row(HEAD_KEY).await?;
    let version = row.as_ref().map_or(0, |row| row.version);
    let head: record::Head = row.map(read).transpose()?.unwrap_or_default();
    let known = state.with(|known| known.config.version());
    if head.version > known {
        read_changes(state, known, head.version).await?;
    }
    state.with(|known| known.node.on_head(asked, head.version));
    Ok((version, head.version))
}

async fn read_changes(
    state: &state::State,
    known: unit::Version,
    head: unit::Version,
) -> platform::Result<()> {
    if known == unit::Version::NONE || head.get() - known.get() > MOST_CHANGES {
        return read_all(state).await;
    }
    for version in known.get() + 1..=head.get() {
        let row = state
            .platform
            .row(&format!("{CHANGE_PREFIX}{version}"))
            .await?;
        let Some(row) = row else {
            return read_all(state).await;
        };
        let change: record::Change = read(row)?;
        state.with(|known| known.apply(&[change]));
    }
    Ok(())
}

/// Reads all records as they stood at one version.
async fn read_all(state: &state::State) -> platform::Result<()> {
    let before = head(state).await?;
    let rows = state.platform.rows(RECORD_PREFIX).await?;
    let records: platform::Result<Vec<record::Document>> = rows.into_iter().map(read).collect();
    let records = records?;
    if head(state).await? == before {
        state.with(|known| known.replace(before, &records));
    }
    Ok(())
}

async fn head(state: &state::State) -> platform::Result<unit::Version> {
    let row = state.platform.row(HEAD_KEY).await?;
    let head: Option<record::Head> = row.map(read).transpose()?;
    Ok(head.unwrap_or_default().version)
}

async fn read_roster(state: &state::State) -> platform::Result<(u64, member::Roster)> {
    let row = state.platform.row(member::ROSTER_KEY).await?;
    let version = row.as_ref().map_or(0, |row| row.version);
    let roster: member::Roster = row.map(read).transpose()?.unwrap_or_default();
    let now = state.clock.now();
    state.with(|known| known.learn(&roster, now));
    Ok((version, roster))
}

/// Writes a roster; a lost race is no failure, the next round reads what came first.
async fn write_roster(
    state: &state::State,
    conditions: Vec<platform::Condition>,
    roster: &member::Roster,
) -> platform::Result<()> {
    let write = platform::Write {
        key: member::ROSTER_KEY.to_owned(),
        value: Some(value(roster)?),
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

/// Leaves the roster for good, so that nobody waits for this life's word.
///
/// # Errors
///
/// Fails when the table is not reached; the members then find this life silent.
pub async fn leave(state: &state::State) -> platform::Result<()> {
    state.with(|known| known.node.leave());
    let end = state.clock.now() + LEAVE_LIMIT;
    while state.clock.now() < end {
        let (row, head) = read_head(state).await?;
        let (version, roster) = read_roster(state).await?;
        let life = state.incarnation();
        if roster.member(life).is_none() {
            return Ok(());
        }
        let next = roster
            .without_member(life, head)
            .with_departed(life, u64::MAX);
        let conditions = vec![
            condition(member::ROSTER_KEY, version),
            condition(HEAD_KEY, row),
        ];
        write_roster(state, conditions, &next).await?;
    }
    Ok(())
}

const LEAVE_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Forms the condition that a row has a version.
pub fn condition(key: &str, version: u64) -> platform::Condition {
    platform::Condition {
        key: key.to_owned(),
        version,
    }
}

/// Reads a row's content.
pub fn read<T: serde::de::DeserializeOwned>(row: platform::Row) -> platform::Result<T> {
    let key = row.key;
    serde_json::from_value(row.value).map_err(|error| platform::Error::BadAnswer {
        reason: format!("row '{key}': {error}"),
    })
}

/// Forms a row's content.
pub fn value<T: serde::Serialize>(content: &T) -> platform::Result<serde_json::Value> {
    serde_json::to_value(content).map_err(|error| platform::Error::BadAnswer {
        reason: error.to_string(),
    })
}

/// Returns whether the time for the next of a periodic task has come.
pub fn is_due(
    last: Option<instant::Instant>,
    pause: time::Duration,
    now: instant::Instant,
) -> bool {
    last.is_none_or(|last| now.since(last) >= pause)
}
