//! Reading the newest records from the platform.

use std::sync;

use skylark_core::instant;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use super::state;

const HEAD_KEY: &str = "head";
const RECORD_PREFIX: &str = "record/";

/// Polls the newest version until the task is dropped.
///
/// # Errors
///
/// Never fails: a read that fails is tried again after the pause.
pub async fn run(state: sync::Arc<state::State>) -> platform::Result<()> {
    loop {
        if let Err(error) = poll(&state).await {
            log::debug!(error:% = error; "records not read");
        }
        tokio::time::sleep(state.settings.poll.get()).await;
    }
}

async fn poll(state: &state::State) -> platform::Result<()> {
    let before = state.clock.now();
    let head = head(state).await?;
    let known = state.known().version;
    if head.version > known {
        let records = records(state).await?;
        // The records may be newer than the head that was read first.
        let after = self::head(state).await?;
        if after.version != head.version {
            return Ok(());
        }
        learn_records(state, head.version, records);
    }
    if head.version >= known {
        learn_fresh(state, before);
    }
    state.tell();
    Ok(())
}

fn learn_records(state: &state::State, version: unit::Version, records: Vec<record::Document>) {
    log::info!(version:% = version, records = records.len(); "records read");
    state.learn(|known| {
        if version > known.version {
            known.version = version;
            known.records = sync::Arc::new(records);
        }
    });
}

fn learn_fresh(state: &state::State, at: instant::Instant) {
    state.learn(|known| known.fresh_at = known.fresh_at.max(at));
}

async fn head(state: &state::State) -> platform::Result<record::Head> {
    let Some(row) = state.platform.row(HEAD_KEY).await? else {
        return Ok(record::Head::default());
    };
    read(row)
}

async fn records(state: &state::State) -> platform::Result<Vec<record::Document>> {
    let rows = state.platform.rows(RECORD_PREFIX).await?;
    rows.into_iter().map(read).collect()
}

fn read<T: serde::de::DeserializeOwned>(row: platform::Row) -> platform::Result<T> {
    let key = row.key;
    serde_json::from_value(row.value).map_err(|error| platform::Error::BadAnswer {
        reason: format!("row '{key}': {error}"),
    })
}
