//! Keeping the owner of the budgets up to date.

use std::io;
use std::sync;
use std::time;

use skylark_core::budget;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use super::post;
use crate::state;
use crate::table;

const STEP: time::Duration = time::Duration::from_millis(100);
const READ_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Contends for the lease of the budgets, and owns them while it is held.
///
/// Only members of the roster contend, one of each availability zone.
///
/// # Errors
///
/// Never fails: what cannot be read is read again after the pause.
pub async fn run(state: sync::Arc<state::State>) -> io::Result<()> {
    let mut reading = None;
    let mut asked = None;
    loop {
        if state.with(|known| known.node.is_member()) {
            let tenure = state.tenure(post::LEASE);
            let now = state.clock.now();
            if tenure.is_valid(now) && table::is_due(asked, READ_PERIOD, now) {
                asked = Some(now);
                reading = read(&state).await.ok().or(reading);
            }
            let now = state.clock.now();
            if let Some(reading) = reading.filter(|_| tenure.is_valid(now)) {
                state.post.follow(tenure, reading, &state, now);
            }
        }
        tokio::time::sleep(STEP).await;
    }
}

/// Reads how much of each budget the claimed slots take.
async fn read(state: &state::State) -> platform::Result<budget::Reading> {
    let asked = state.clock.now();
    let row = state.platform.row(budget::TOTALS_KEY).await?;
    let ledger: Option<budget::Totals> = row.map(table::read).transpose()?;
    let reserve = state.with(|known| {
        let mut policies = known.records.iter().filter_map(|record| record.policy);
        policies.next_back().unwrap_or_default().reserve
    });
    let reserve = budget::Share::of_slot(reserve, 1);
    let ledger = ledger.unwrap_or_default();
    let is_unused = ledger.claimed == budget::Share::NONE;
    // Any claim may set a new limit while nothing is claimed.
    let limit = if is_unused {
        budget::Share::WHOLE
    } else {
        ledger.limit
    };
    let timing = budget::Timing::default();
    Ok(budget::Reading::new(
        ledger.claimed,
        limit.max(reserve),
        asked,
        &timing,
    ))
}
