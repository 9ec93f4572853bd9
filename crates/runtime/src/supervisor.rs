//! Supervisor that restarts tasks which end or panic, with exponential backoff.

use std::future;
use std::time;

use super::shutdown;

const MIN_BACKOFF: time::Duration = time::Duration::from_millis(50);
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(5);
/// Run time after which a task counts as stable, so that its backoff starts over.
const BACKOFF_RESET_AFTER: time::Duration = time::Duration::from_secs(30);

/// Keeps tasks running until a shutdown is requested.
#[derive(Debug)]
pub struct Supervisor {
    shutdown: shutdown::Shutdown,
    tasks: tokio::task::JoinSet<()>,
}

impl Supervisor {
    /// Creates a supervisor without tasks.
    #[must_use]
    pub fn new(shutdown: shutdown::Shutdown) -> Self {
        Self {
            shutdown,
            tasks: tokio::task::JoinSet::new(),
        }
    }

    /// Adds a task, which is restarted whenever it returns, fails or panics before the shutdown.
    pub fn spawn<F, R, E>(&mut self, name: &'static str, start: F)
    where
        F: Fn() -> R + Send + 'static,
        R: future::Future<Output = Result<(), E>> + Send + 'static,
        E: std::fmt::Display + Send + 'static,
    {
        let shutdown = self.shutdown.clone();
        self.tasks
            .spawn(async move { run_with_restarts(name, start, shutdown).await });
    }

    /// Waits until the shutdown is requested, then aborts all tasks.
    pub async fn run(mut self) {
        self.shutdown.requested().await;
        self.tasks.shutdown().await;
    }
}

async fn run_with_restarts<F, R, E>(name: &'static str, start: F, shutdown: shutdown::Shutdown)
where
    F: Fn() -> R,
    R: future::Future<Output = Result<(), E>> + Send + 'static,
    E: std::fmt::Display + Send + 'static,
{
    let mut backoff = MIN_BACKOFF;
    while !shutdown.is_requested() {
        let started = time::Instant::now();
        let mut task = tokio::task::JoinSet::new();
        task.spawn(start());
        match task.join_next().await {
            Some(Ok(Ok(()))) | None => log::info!(task = name; "task ended; restarting it"),
            Some(Ok(Err(error))) => {
                log::warn!(task = name, error:% = error; "task failed; restarting it");
            }
            Some(Err(error)) => {
                log::error!(task = name, error:% = error; "task panicked; restarting it");
            }
        }
        if started.elapsed() >= BACKOFF_RESET_AFTER {
            backoff = MIN_BACKOFF;
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
