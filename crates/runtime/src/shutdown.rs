//! The wish to stop, from a signal to every task.

use tokio::signal::unix;
use tokio::sync::watch;

use super::error;

/// Tells tasks that the process is to stop.
#[derive(Clone, Debug)]
pub struct Shutdown {
    sender: watch::Sender<bool>,
}

impl Shutdown {
    /// Creates a stop that nobody has asked for yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sender: watch::Sender::new(false),
        }
    }

    /// Creates a stop that `SIGTERM` or `SIGINT` asks for.
    ///
    /// # Errors
    ///
    /// Fails when the signals cannot be heard.
    pub fn with_signals() -> error::Result<Self> {
        let stop = Self::new();
        let mut term = unix::signal(unix::SignalKind::terminate())?;
        let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
        let asked = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                _signal = term.recv() => {}
                _signal = interrupt.recv() => {}
            }
            asked.request();
        });
        Ok(stop)
    }

    /// Asks every task to stop.
    pub fn request(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether a stop was asked for.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until a stop is asked for.
    pub async fn requested(&self) {
        let mut receiver = self.sender.subscribe();
        let _closed = receiver.wait_for(|is_asked| *is_asked).await;
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}
