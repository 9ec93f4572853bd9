//! Reload of the settings file when it changes.

use std::sync;
use std::time;

use tokio::signal::unix;

use super::error;
use super::state;

/// Time between two reads of the file, which may change without a signal.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Reloads the settings file until the task is dropped.
pub(crate) async fn watch(state: sync::Arc<state::State>) -> error::Result<()> {
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    loop {
        let is_signal = tokio::select! {
            _signal = hangup.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        match skylark_platform::settings::load(&state.path) {
            Ok(settings) => {
                let is_changed = state.set_settings(settings);
                if is_changed || is_signal {
                    log::info!(differs = is_changed, is_signal; "settings file read");
                }
            }
            Err(error) => {
                log::error!(error:% = error; "settings file rejected; keeping the previous settings");
            }
        }
    }
}
