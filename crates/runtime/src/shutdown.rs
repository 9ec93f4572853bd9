//! Shutdown signal, broadcast to the tasks of the process.

use tokio::signal::unix;
use tokio::sync::watch;

use super::error;

/// A shutdown signal; its clones share one state.
#[derive(Clone, Debug)]
pub struct Shutdown {
    sender: watch::Sender<bool>,
}

impl Shutdown {
    /// Creates a shutdown signal that isn't requested yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sender: watch::Sender::new(false),
        }
    }

    /// Creates a shutdown signal that `SIGTERM` or `SIGINT` requests.
    ///
    /// # Errors
    ///
    /// Fails if the signal listeners cannot be installed.
    pub fn with_signals() -> error::Result<Self> {
        let shutdown = Self::new();
        let mut terminate = unix::signal(unix::SignalKind::terminate())?;
        let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
        let signaled = shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                _signal = terminate.recv() => {}
                _signal = interrupt.recv() => {}
            }
            signaled.request();
        });
        Ok(shutdown)
    }

    /// Requests the shutdown, for good.
    pub fn request(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the shutdown was requested.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the shutdown is requested.
    pub async fn requested(&self) {
        let mut receiver = self.sender.subscribe();
        let _closed = receiver.wait_for(|is_requested| *is_requested).await;
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}
