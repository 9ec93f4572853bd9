//! Claiming slots of the reserve in the platform's table.

use std::io;
use std::sync;
use std::time;

use skylark_core::budget;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use crate::state;

const STEP: time::Duration = time::Duration::from_millis(200);
/// Pause after a claim that found no slot, for each known entry host of the zone.
const PAUSE: time::Duration = time::Duration::from_secs(2);
/// Slots of each availability zone.
const SLOTS_PER_ZONE: u32 = 5;
/// Slots of an availability zone that its entry hosts divide; the others are for replacements.
const USED_PER_ZONE: usize = 4;

/// The claimed slots as the table holds them.
#[derive(Clone, Debug, Default)]
struct Table {
    version: u64,
    ledger: budget::Totals,
    slots: Vec<(u64, budget::Slot)>,
}

/// Claims slots, and spends from them once they have settled.
///
/// # Errors
///
/// Never fails: a table that cannot be reached is tried again after the pause.
pub async fn run(state: sync::Arc<state::State>) -> io::Result<()> {
    let timing = budget::Timing::default();
    while !state.view().has_records() {
        tokio::time::sleep(STEP).await;
    }
    let mut claim = new(&state);
    let mut table = Table::default();
    let mut freezes = state.rate_limiter.with(|held| held.holder.pauses());
    loop {
        if state.is_leaving() {
            tokio::time::sleep(STEP).await;
            continue;
        }
        let plan = plan(&state);
        let step = claim.next_step(state.clock.now());
        let pause = if step == budget::Step::Read {
            PAUSE.saturating_mul(u32::try_from(peers(&state).max(1)).unwrap_or(u32::MAX))
        } else {
            STEP
        };
        let mut outcome = Outcome::Nothing;
        match step {
            budget::Step::Read => match read(&state).await {
                Ok(found) => {
                    table = found;
                    outcome = Outcome::Read;
                }
                Err(error) => log::debug!(error:% = error; "slots not read"),
            },
            budget::Step::Write(slots) => outcome = write(&state, &table, &slots, &plan).await,
            budget::Step::Spend(share) => fund(&state, share),
            budget::Step::Wait(_) | budget::Step::Done => {}
        }
        let now = state.clock.now();
        let seen = state.rate_limiter.with(|held| {
            held.holder.check_pause(now);
            held.holder.pauses()
        });
        if seen != freezes {
            freezes = seen;
            log::warn!("slots given up after a freeze");
            outcome = Outcome::Forfeit;
        }
        let slots: Vec<budget::Slot> = table.slots.iter().map(|(_, slot)| slot.clone()).collect();
        let is_read = matches!(outcome, Outcome::Read);
        if let Some(event) = outcome.event(&slots) {
            claim.on_event(event, &plan, &timing, now);
        }
        let is_vain = is_read && claim.next_step(now) == budget::Step::Read;
        tokio::time::sleep(if is_vain { pause } else { STEP }).await;
    }
}

/// What came of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Nothing,
    Read,
    Written,
    Conflict,
    Lost,
    Forfeit,
}

impl Outcome {
    fn event(self, slots: &[budget::Slot]) -> Option<budget::Event<'_>> {
        match self {
            Self::Nothing => None,
            Self::Read => Some(budget::Event::Read(slots)),
            Self::Written => Some(budget::Event::Written),
            Self::Conflict => Some(budget::Event::Conflict),
            Self::Lost => Some(budget::Event::Unanswered),
            Self::Forfeit => Some(budget::Event::Forfeited),
        }
    }
}

fn new(state: &state::State) -> budget::Claim {
    budget::Claim::new(
        state.settings.host.clone(),
        state.incarnation.clone(),
        state.settings.zone.clone(),
        USED_PER_ZONE / peers(state).clamp(1, USED_PER_ZONE),
    )
}

/// Returns the number of known entry hosts of this zone.
fn peers(state: &state::State) -> usize {
    let view = state.view();
    let hosts = view.hosts.iter();
    hosts
        .filter(|host| host.zone == state.settings.zone)
        .count()
}

fn plan(state: &state::State) -> budget::Reserve {
    let view = state.view();
    budget::Reserve {
        percent: view.catalog.policy.reserve,
        zones: u32::try_from(view.catalog.zones.len()).unwrap_or(u32::MAX),
        slots: SLOTS_PER_ZONE,
    }
}

fn fund(state: &state::State, share: budget::Share) {
    let now = state.clock.now();
    state
        .rate_limiter
        .with(|held| held.holder.set_share(share, now));
    log::info!(share:? = share; "slots of the reserve in use");
}

/// Reads the ledger before the slots: a change in between makes the next write fail.
async fn read(state: &state::State) -> platform::Result<Table> {
    let row = state.platform.row(budget::TOTALS_KEY).await?;
    let version = row.as_ref().map_or(0, |row| row.version);
    let ledger = row.map(parse).transpose()?.unwrap_or_default();
    let rows = state.platform.rows(budget::SLOT_KEY_PREFIX).await?;
    let slots = rows.into_iter().map(|row| Ok((row.version, parse(row)?)));
    let slots: platform::Result<Vec<(u64, budget::Slot)>> = slots.collect();
    let table = Table {
        version,
        ledger,
        slots: slots?,
    };
    free(state, table).await
}

/// Frees the slots of this host's earlier lives, which ended before this one took its address.
async fn free(state: &state::State, table: Table) -> platform::Result<Table> {
    let is_old =
        |slot: &budget::Slot| slot.host == state.settings.host && slot.holder != state.incarnation;
    let (old, kept): (Vec<_>, Vec<_>) = table
        .slots
        .into_iter()
        .partition(|(_version, slot)| is_old(slot));
    let table = Table {
        slots: kept,
        ..table
    };
    if old.is_empty() {
        return Ok(table);
    }
    remove(state, &table, &old).await?;
    Box::pin(read(state)).await
}

async fn remove(
    state: &state::State,
    table: &Table,
    old: &[(u64, budget::Slot)],
) -> platform::Result<()> {
    let shares = old.iter().map(|(_version, slot)| slot.share);
    let share = shares.fold(budget::Share::NONE, budget::Share::plus);
    let mut commit = begin(table, table.ledger.without_claim(share))?;
    for (version, slot) in old {
        commit.conditions.push(condition(&slot.key(), *version));
        commit.writes.push(platform::Write {
            key: slot.key(),
            value: None,
        });
    }
    state.platform.commit(&commit).await
}

async fn write(
    state: &state::State,
    table: &Table,
    slots: &[budget::Slot],
    plan: &budget::Reserve,
) -> Outcome {
    let share = budget::Slot::total_share(slots);
    let Some(ledger) = table.ledger.with_claim(share, plan.percent) else {
        return Outcome::Conflict;
    };
    let Ok(commit) = form(table, ledger, slots) else {
        return Outcome::Conflict;
    };
    match state.platform.commit(&commit).await {
        Ok(()) => Outcome::Written,
        Err(platform::Error::Conflict { .. } | platform::Error::Refused { .. }) => {
            Outcome::Conflict
        }
        Err(_error) => Outcome::Lost,
    }
}

fn form(
    table: &Table,
    ledger: budget::Totals,
    slots: &[budget::Slot],
) -> platform::Result<platform::Commit> {
    let mut commit = begin(table, ledger)?;
    for slot in slots {
        commit.conditions.push(condition(&slot.key(), 0));
        commit.writes.push(platform::Write {
            key: slot.key(),
            value: Some(value(slot)?),
        });
    }
    Ok(commit)
}

/// Begins a transaction that changes the ledger.
fn begin(table: &Table, ledger: budget::Totals) -> platform::Result<platform::Commit> {
    Ok(platform::Commit {
        conditions: vec![condition(budget::TOTALS_KEY, table.version)],
        writes: vec![platform::Write {
            key: budget::TOTALS_KEY.to_owned(),
            value: Some(value(&ledger)?),
        }],
    })
}

fn condition(key: &str, version: u64) -> platform::Condition {
    platform::Condition {
        key: key.to_owned(),
        version,
    }
}

fn parse<T: serde::de::DeserializeOwned>(row: platform::Row) -> platform::Result<T> {
    serde_json::from_value(row.value).map_err(|error| platform::Error::BadAnswer {
        reason: error.to_string(),
    })
}

fn value<T: serde::Serialize>(content: &T) -> platform::Result<serde_json::Value> {
    serde_json::to_value(content).map_err(|error| platform::Error::BadAnswer {
        reason: error.to_string(),
    })
}

/// Spends no more from the slots and hands them back, at a planned stop.
pub async fn leave(state: &state::State) {
    let now = state.clock.now();
    state
        .rate_limiter
        .with(|held| held.holder.set_share(budget::Share::NONE, now));
    if let Err(error) = hand_back(state).await {
        log::warn!(error:% = error; "slots not handed back");
    }
}

async fn hand_back(state: &state::State) -> platform::Result<()> {
    let table = read(state).await?;
    let slots = table.slots.iter();
    let own = slots.filter(|(_version, slot)| slot.holder == state.incarnation);
    let own: Vec<(u64, budget::Slot)> = own.cloned().collect();
    if own.is_empty() {
        return Ok(());
    }
    remove(state, &table, &own).await
}
