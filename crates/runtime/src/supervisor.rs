//! Restarting tasks that end or panic, with growing pauses.

use std::future;
use std::time;

use super::shutdown;

const FIRST_PAUSE: time::Duration = time::Duration::from_millis(50);
const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(5);
const STEADY_RUN: time::Duration = time::Duration::from_secs(30);

/// Keeps tasks running until a stop is asked for.
#[derive(Debug)]
pub struct Supervisor {
    stop: shutdown::Shutdown,
    tasks: tokio::task::JoinSet<()>,
}

impl Supervisor {
    /// Creates a supervisor without tasks.
    #[must_use]
    pub fn new(stop: shutdown::Shutdown) -> Self {
        Self {
            stop,
            tasks: tokio::task::JoinSet::new(),
        }
    }

    /// Adds a task that is started again whenever it ends before the stop.
    pub fn spawn<F, R, E>(&mut self, name: &'static str, start: F)
    where
        F: Fn() -> R + Send + 'static,
        R: future::Future<Output = Result<(), E>> + Send + 'static,
        E: std::fmt::Display + Send + 'static,
    {
        let stop = self.stop.clone();
        self.tasks
            .spawn(async move { keep_running(name, start, stop).await });
    }

    /// Waits until a stop is asked for, then ends every task.
    pub async fn run(mut self) {
        self.stop.requested().await;
        self.tasks.shutdown().await;
    }
}

async fn keep_running<F, R, E>(name: &'static str, start: F, stop: shutdown::Shutdown)
where
    F: Fn() -> R,
    R: future::Future<Output = Result<(), E>> + Send + 'static,
    E: std::fmt::Display + Send + 'static,
{
    let mut pause = FIRST_PAUSE;
    while !stop.is_requested() {
        let began = time::Instant::now();
        let mut task = tokio::task::JoinSet::new();
        task.spawn(start());
        match task.join_next().await {
            Some(Ok(Ok(()))) | None => log::info!(task = name; "task ended"),
            Some(Ok(Err(error))) => log::warn!(task = name, error:% = error; "task failed"),
            Some(Err(error)) => log::error!(task = name, error:% = error; "task panicked"),
        }
        if began.elapsed() >= STEADY_RUN {
            pause = FIRST_PAUSE;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}
