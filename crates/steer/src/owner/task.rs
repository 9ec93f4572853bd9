//! Task that contends for the lease of the budgets and updates their owner.

use std::io;
use std::sync;
use std::time;

use skylark_core::budget;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use super::elected_owner;
use crate::state;
use crate::table;

const UPDATE_PERIOD: time::Duration = time::Duration::from_millis(100);
const READ_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Contends for the lease of the budgets, and owns the budgets while holding it.
///
/// Only members of the roster contend: one process in each availability zone.
///
/// # Errors
///
/// Never fails: a read that fails is repeated after the read period.
pub async fn run(state: sync::Arc<state::State>) -> io::Result<()> {
    let mut reading = None;
    let mut last_read = None;
    loop {
        if state.with(|control| control.node.is_member()) {
            let term = state.contend_for(elected_owner::LEASE);
            let now = state.clock.now();
            if term.is_valid(now) && table::is_due(last_read, READ_PERIOD, now) {
                last_read = Some(now);
                reading = read_claims(&state).await.ok().or(reading);
            }
            let now = state.clock.now();
            if let Some(reading) = reading.filter(|_| term.is_valid(now)) {
                state.budget_owner.update(term, reading, &state, now);
            }
        }
        tokio::time::sleep(UPDATE_PERIOD).await;
    }
}

/// Reads the share of each budget that belongs to claimed slots.
async fn read_claims(state: &state::State) -> platform::Result<budget::Reading> {
    let asked = state.clock.now();
    let row = state.platform.row(budget::TOTALS_KEY).await?;
    let totals: Option<budget::Totals> = row.map(table::decode).transpose()?;
    let reserve = state.with(|control| {
        let mut policies = control.records.iter().filter_map(|record| record.policy);
        policies.next_back().unwrap_or_default().reserve
    });
    let reserve = budget::Share::of_slot(reserve, 1);
    let totals = totals.unwrap_or_default();
    let is_unclaimed = totals.claimed == budget::Share::NONE;
    // While nothing is claimed, the next claim may set any limit, so the whole is assumed.
    let limit = if is_unclaimed {
        budget::Share::WHOLE
    } else {
        totals.limit
    };
    let timing = budget::Timing::default();
    Ok(budget::Reading::new(
        totals.claimed,
        limit.max(reserve),
        asked,
        &timing,
    ))
}
