//! Claims of slots of the reserve, as rows in the platform's table.

use std::io;
use std::sync;
use std::time;

use skylark_core::budget;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use crate::state;

/// Interval at which the claim is advanced.
const STEP_PERIOD: time::Duration = time::Duration::from_millis(200);
/// Delay after a claim that found no vacant slot, for each known entry host of the zone.
const RETRY_DELAY_PER_HOST: time::Duration = time::Duration::from_secs(2);
/// Slots of each availability zone.
const SLOTS_PER_ZONE: u32 = 5;
/// Slots of a zone that its entry hosts divide; the others are for hosts that replace them.
const CLAIMED_PER_ZONE: usize = 4;

/// The claimed slots, with the versions of their rows, as read from the platform's table.
#[derive(Clone, Debug, Default)]
struct Table {
    version: u64,
    totals: budget::Totals,
    slots: Vec<(u64, budget::Slot)>,
}

/// Claims slots, and spends from them after the settling delay.
///
/// # Errors
///
/// Never fails: reads and writes of the table are retried after a delay.
pub async fn run(state: sync::Arc<state::State>) -> io::Result<()> {
    let timing = budget::Timing::default();
    while !state.view().has_records() {
        tokio::time::sleep(STEP_PERIOD).await;
    }
    let mut claim = new_claim(&state);
    let mut table = Table::default();
    let mut pauses = state.rate_limiter.with(|inner| inner.limiter.pauses());
    loop {
        if state.is_leaving() {
            tokio::time::sleep(STEP_PERIOD).await;
            continue;
        }
        let reserve = reserve(&state);
        let step = claim.next_step(state.clock.now());
        let delay = if step == budget::Step::Read {
            RETRY_DELAY_PER_HOST
                .saturating_mul(u32::try_from(zone_host_count(&state).max(1)).unwrap_or(u32::MAX))
        } else {
            STEP_PERIOD
        };
        let mut outcome = Outcome::Nothing;
        match step {
            budget::Step::Read => match read(&state).await {
                Ok(found) => {
                    table = found;
                    outcome = Outcome::Read;
                }
                Err(error) => log::debug!(error:% = error; "the slots could not be read; retrying"),
            },
            budget::Step::Write(slots) => outcome = write(&state, &table, &slots, &reserve).await,
            budget::Step::Spend(share) => spend(&state, share),
            budget::Step::Wait(_) | budget::Step::Done => {}
        }
        let now = state.clock.now();
        let new_pauses = state.rate_limiter.with(|inner| {
            inner.limiter.check_pause(now);
            inner.limiter.pauses()
        });
        if new_pauses != pauses {
            pauses = new_pauses;
            log::warn!("the process paused too long; gave up its slots of the reserve");
            outcome = Outcome::Forfeited;
        }
        let slots: Vec<budget::Slot> = table.slots.iter().map(|(_, slot)| slot.clone()).collect();
        let is_read = matches!(outcome, Outcome::Read);
        if let Some(event) = outcome.event(&slots) {
            claim.on_event(event, &reserve, &timing, now);
        }
        let is_fruitless = is_read && claim.next_step(now) == budget::Step::Read;
        tokio::time::sleep(if is_fruitless { delay } else { STEP_PERIOD }).await;
    }
}

/// Result of a step of the claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Nothing,
    Read,
    Written,
    Conflict,
    Unanswered,
    Forfeited,
}

impl Outcome {
    fn event(self, slots: &[budget::Slot]) -> Option<budget::Event<'_>> {
        match self {
            Self::Nothing => None,
            Self::Read => Some(budget::Event::Read(slots)),
            Self::Written => Some(budget::Event::Written),
            Self::Conflict => Some(budget::Event::Conflict),
            Self::Unanswered => Some(budget::Event::Unanswered),
            Self::Forfeited => Some(budget::Event::Forfeited),
        }
    }
}

fn new_claim(state: &state::State) -> budget::Claim {
    budget::Claim::new(
        state.settings.host.clone(),
        state.incarnation.clone(),
        state.settings.zone.clone(),
        CLAIMED_PER_ZONE / zone_host_count(state).clamp(1, CLAIMED_PER_ZONE),
    )
}

/// Returns the number of known entry hosts in this zone.
fn zone_host_count(state: &state::State) -> usize {
    let view = state.view();
    let hosts = view.hosts.iter();
    hosts
        .filter(|host| host.zone == state.settings.zone)
        .count()
}

fn reserve(state: &state::State) -> budget::Reserve {
    let view = state.view();
    budget::Reserve {
        percent: view.catalog.policy.reserve,
        zones: u32::try_from(view.catalog.zones.len()).unwrap_or(u32::MAX),
        slots: SLOTS_PER_ZONE,
    }
}

fn spend(state: &state::State, share: budget::Share) {
    let now = state.clock.now();
    state
        .rate_limiter
        .with(|inner| inner.limiter.set_share(share, now));
    log::info!(share:? = share; "spending from slots of the reserve");
}

/// Reads the totals, then the slots: a change in between makes the next conditional write fail.
///
/// Also removes slots that earlier incarnations of this host's process have left.
async fn read(state: &state::State) -> platform::Result<Table> {
    let row = state.platform.row(budget::TOTALS_KEY).await?;
    let version = row.as_ref().map_or(0, |row| row.version);
    let totals = row.map(parse).transpose()?.unwrap_or_default();
    let rows = state.platform.rows(budget::SLOT_KEY_PREFIX).await?;
    let slots = rows.into_iter().map(|row| Ok((row.version, parse(row)?)));
    let slots: platform::Result<Vec<(u64, budget::Slot)>> = slots.collect();
    let table = Table {
        version,
        totals,
        slots: slots?,
    };
    remove_outdated(state, table).await
}

/// Removes the slots of earlier incarnations, which ended before this process bound their address.
async fn remove_outdated(state: &state::State, table: Table) -> platform::Result<Table> {
    let is_outdated =
        |slot: &budget::Slot| slot.host == state.settings.host && slot.holder != state.incarnation;
    let (outdated, kept): (Vec<_>, Vec<_>) = table
        .slots
        .into_iter()
        .partition(|(_version, slot)| is_outdated(slot));
    let table = Table {
        slots: kept,
        ..table
    };
    if outdated.is_empty() {
        return Ok(table);
    }
    remove(state, &table, &outdated).await?;
    Box::pin(read(state)).await
}

async fn remove(
    state: &state::State,
    table: &Table,
    removed: &[(u64, budget::Slot)],
) -> platform::Result<()> {
    let shares = removed.iter().map(|(_version, slot)| slot.share);
    let share = shares.fold(budget::Share::NONE, budget::Share::plus);
    let mut commit = update_totals(table, table.totals.without_claim(share))?;
    for (version, slot) in removed {
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
    reserve: &budget::Reserve,
) -> Outcome {
    let share = budget::Slot::total_share(slots);
    let Some(totals) = table.totals.with_claim(share, reserve.percent) else {
        return Outcome::Conflict;
    };
    let Ok(commit) = claim_slots(table, totals, slots) else {
        return Outcome::Conflict;
    };
    match state.platform.commit(&commit).await {
        Ok(()) => Outcome::Written,
        Err(platform::Error::Conflict { .. } | platform::Error::Refused { .. }) => {
            Outcome::Conflict
        }
        Err(_error) => Outcome::Unanswered,
    }
}

fn claim_slots(
    table: &Table,
    totals: budget::Totals,
    slots: &[budget::Slot],
) -> platform::Result<platform::Commit> {
    let mut commit = update_totals(table, totals)?;
    for slot in slots {
        commit.conditions.push(condition(&slot.key(), 0));
        commit.writes.push(platform::Write {
            key: slot.key(),
            value: Some(value(slot)?),
        });
    }
    Ok(commit)
}

/// Returns a transaction that changes the totals, to which changes of slots are added.
fn update_totals(table: &Table, totals: budget::Totals) -> platform::Result<platform::Commit> {
    Ok(platform::Commit {
        conditions: vec![condition(budget::TOTALS_KEY, table.version)],
        writes: vec![platform::Write {
            key: budget::TOTALS_KEY.to_owned(),
            value: Some(value(&totals)?),
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

/// Stops spending from the slots and removes their rows, for a graceful shutdown.
pub async fn release(state: &state::State) {
    let now = state.clock.now();
    state
        .rate_limiter
        .with(|inner| inner.limiter.set_share(budget::Share::NONE, now));
    if let Err(error) = remove_own(state).await {
        log::warn!(error:% = error; "the slots of the reserve could not be released; they stay claimed until this host restarts or leaves the list of hosts");
    }
}

async fn remove_own(state: &state::State) -> platform::Result<()> {
    let table = read(state).await?;
    let slots = table.slots.iter();
    let own = slots.filter(|(_version, slot)| slot.holder == state.incarnation);
    let own: Vec<(u64, budget::Slot)> = own.cloned().collect();
    if own.is_empty() {
        return Ok(());
    }
    remove(state, &table, &own).await
}
