//! In-memory state of a stand-in target.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use super::fault;

/// Limits, injected faults and counters of one stand-in target.
#[derive(Debug)]
pub struct State {
    /// Name of the target.
    pub name: String,
    /// Semaphore that limits the requests that run concurrently.
    pub slots: tokio::sync::Semaphore,
    /// Time that each request takes, before injected delays.
    pub processing_time: time::Duration,
    /// Number of requests that run or wait for a slot.
    pub load: atomic::AtomicUsize,
    /// Number of crashes since the process started.
    pub crashes: atomic::AtomicU64,
    faults: sync::RwLock<fault::Faults>,
    starts: sync::Mutex<collections::BTreeMap<String, u64>>,
    restart_at: sync::Mutex<Option<time::Instant>>,
}

/// Counters of a target, read by tests with `GET /standin/report`.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Report {
    /// Name of the target.
    pub name: String,
    /// Number of starts by idempotency key, or by `METHOD PATH` for requests without one.
    pub starts: collections::BTreeMap<String, u64>,
    /// Number of crashes since the process started.
    pub crashes: u64,
}

impl State {
    /// Returns the state of a target without faults that has started no request.
    #[must_use]
    pub fn new(name: &str, slots: usize, processing_time: time::Duration) -> Self {
        Self {
            name: name.to_owned(),
            slots: tokio::sync::Semaphore::new(slots),
            processing_time,
            load: atomic::AtomicUsize::new(0),
            crashes: atomic::AtomicU64::new(0),
            faults: sync::RwLock::default(),
            starts: sync::Mutex::default(),
            restart_at: sync::Mutex::default(),
        }
    }

    /// Returns a copy of the injected faults.
    #[must_use]
    pub fn faults(&self) -> fault::Faults {
        self.faults
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: fault::Faults) {
        *self
            .faults
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner) = faults;
    }

    /// Returns whether the target is down, by its mode or after a crash.
    #[must_use]
    pub fn is_down(&self) -> bool {
        let restart_at = *self
            .restart_at
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        self.faults().mode == fault::Mode::Down
            || restart_at.is_some_and(|at| time::Instant::now() < at)
    }

    /// Counts a crash and keeps the target down for `crash_millis` of its faults.
    pub fn crash(&self) {
        self.crashes.fetch_add(1, atomic::Ordering::Relaxed);
        let outage = time::Duration::from_millis(self.faults().crash_millis);
        let mut restart_at = self
            .restart_at
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *restart_at = Some(time::Instant::now() + outage);
    }

    /// Counts the start of a request under its idempotency key or other label.
    pub fn count_start(&self, key: &str) {
        let mut starts = self
            .starts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *starts.entry(key.to_owned()).or_default() += 1;
    }

    /// Returns the counters for tests.
    #[must_use]
    pub fn report(&self) -> Report {
        let starts = self
            .starts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone();
        let crashes = self.crashes.load(atomic::Ordering::Relaxed);
        Report {
            name: self.name.clone(),
            starts,
            crashes,
        }
    }
}
