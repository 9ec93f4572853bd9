//! Claims in the shared table, for keys that name no home.

use std::time;

use skylark_core::idempotency;
use skylark_core::instant;
use skylark_runtime::identity;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use crate::state;

/// Delay between two attempts to write or read a claim.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Claims a key and returns who owns it; none if the result is still unknown at the deadline.
pub async fn claim(
    state: &state::State,
    key: &idempotency::Key,
    fingerprint: idempotency::Fingerprint,
    deadline: instant::Instant,
) -> Option<idempotency::Ownership> {
    let claim = idempotency::Claim {
        write: identity::random_hex().ok()?,
        holder: state.incarnation.clone(),
        fingerprint,
    };
    let remaining = deadline.since(state.clock.now());
    let row = idempotency::Claim::row_key(key);
    let claimed = commit_claim(state, &row, &claim);
    tokio::time::timeout(remaining, claimed).await.ok()?
}

/// Writes the claim unless the key has one, and reads it back until the owner is known.
///
/// Returns none if the platform rejects the write as invalid.
async fn commit_claim(
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
            Err(_unknown) => {}
        }
        if let Ok(Some(found)) = state.platform.row(row).await {
            let found = serde_json::from_value::<idempotency::Claim>(found.value).ok()?;
            return Some(claim.ownership(&found));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
