//! Checking a request's key again, directly before the request is sent.

use std::time;

use skylark_core::kind;

use super::exchange;
use super::identity;
use super::state;

/// Pause between two checks while the records may be out of date.
const NEWS_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Checks the request's key, and waits for news while the records may be out of date.
///
/// A process that was frozen hears the newest records within moments.
///
/// # Errors
///
/// Refuses when the key was withdrawn, or no news came before the deadline.
pub async fn confirm(state: &state::State, request: &exchange::Request) -> exchange::Result<()> {
    loop {
        match check(state, request) {
            Err(refusal)
                if refusal.kind == kind::ErrorKind::StaleKeys
                    && !request.left(state.clock.now()).is_zero() =>
            {
                tokio::time::sleep(NEWS_PAUSE).await;
            }
            checked => return checked,
        }
    }
}

/// Checks the request's key against the records in force.
///
/// # Errors
///
/// Refuses when the key was withdrawn, or keys may be out of date.
pub fn check(state: &state::State, request: &exchange::Request) -> exchange::Result<()> {
    identity::recheck(&state.view(), request.credential, state.clock.now())
}
