//! Claims in the table, for keys that name no home.

use std::time;

use skylark_core::instant;
use skylark_core::once;
use skylark_runtime::identity;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use crate::state;

const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Claims a key; none when the table gives no certain word before the deadline.
pub async fn claim(
    state: &state::State,
    key: &once::Key,
    print: once::Print,
    deadline: instant::Instant,
) -> Option<once::Holding> {
    let claim = once::Claim {
        write: identity::random_hex().ok()?,
        holder: state.incarnation.clone(),
        print,
    };
    let left = deadline.since(state.clock.now());
    let row = once::Claim::row(key);
    let settled = settle(state, &row, &claim);
    tokio::time::timeout(left, settled).await.ok()?
}

/// Writes the claim and reads it back until the table's word is certain.
async fn settle(state: &state::State, row: &str, claim: &once::Claim) -> Option<once::Holding> {
    let value = serde_json::to_value(claim).ok()?;
    let commit = platform::Commit {
        conditions: vec![platform::Condition {
            key: row.to_owned(),
            version: 0,
        }],
        writes: vec![platform::Write {
            key: row.to_owned(),
            value: Some(value),
        }],
    };
    loop {
        match state.platform.commit(&commit).await {
            Ok(()) => return Some(once::Holding::Own),
            Err(platform::Error::Refused { .. }) => return None,
            Err(_doubt) => {}
        }
        if let Ok(Some(found)) = state.platform.row(row).await {
            let found = serde_json::from_value::<once::Claim>(found.value).ok()?;
            return Some(claim.compare(&found));
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
