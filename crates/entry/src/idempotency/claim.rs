//! Claims in the table, for keys that name no home.

use std::time;

use skylark_core::idempotency;
use skylark_core::instant;
use skylark_runtime::identity;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use crate::state;

const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Claims a key; none when the table gives no certain word before the deadline.
pub async fn claim(
    state: &state::State,
    key: &idempotency::Key,
    print: idempotency::Fingerprint,
    deadline: instant::Instant,
) -> Option<idempotency::Ownership> {
    let claim = idempotency::Claim {
        write: identity::random_hex().ok()?,
        holder: state.incarnation.clone(),
        fingerprint: print,
    };
    let left = deadline.since(state.clock.now());
    let row = idempotency::Claim::row_key(key);
    let settled = settle(state, &row, &claim);
    tokio::time::timeout(left, settled).await.ok()?
}

/// Writes the claim and reads it back until the table's word is certain.
async fn settle(
    state: &state::State,
    row: &str,
    claim: &idempotency::Claim,
) -> Option<idempotency::Ownership> {
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
            Ok(()) => return Some(idempotency::Ownership::Own),
            Err(platform::Error::Refused { .. }) => return None,
            Err(_doubt) => {}
        }
        if let Ok(Some(found)) = state.platform.row(row).await {
            let found = serde_json::from_value::<idempotency::Claim>(found.value).ok()?;
            return Some(claim.ownership(&found));
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
