//! What a stand-in target remembers.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use super::fault;

/// Everything that one stand-in target keeps.
#[derive(Debug)]
pub struct State {
    /// Name of the target.
    pub name: String,
    /// Limits the requests that run at once.
    pub slots: tokio::sync::Semaphore,
    /// Time that each request takes.
    pub work: time::Duration,
    /// Requests that run or wait.
    pub load: atomic::AtomicUsize,
    /// Crashes since the start.
    pub crashes: atomic::AtomicU64,
    faults: sync::RwLock<fault::Faults>,
    starts: sync::Mutex<collections::BTreeMap<String, u64>>,
    revival: sync::Mutex<Option<time::Instant>>,
}

/// What a test reads of a target.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct Report {
    /// Name of the target.
    pub name: String,
    /// Starts by idempotency key, or by `METHOD PATH` where there is none.
    pub starts: collections::BTreeMap<String, u64>,
    /// Crashes since the start.
    pub crashes: u64,
}

impl State {
    /// Creates the state of a target that has started nothing.
    #[must_use]
    pub fn new(name: &str, slots: usize, work: time::Duration) -> Self {
        Self {
            name: name.to_owned(),
            slots: tokio::sync::Semaphore::new(slots),
            work,
            load: atomic::AtomicUsize::new(0),
            crashes: atomic::AtomicU64::new(0),
            faults: sync::RwLock::default(),
            starts: sync::Mutex::default(),
            revival: sync::Mutex::default(),
        }
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn faults(&self) -> fault::Faults {
        self.faults
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: fault::Faults) {
        *self
            .faults
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner) = faults;
    }

    /// Returns whether the target is gone at present.
    #[must_use]
    pub fn is_dead(&self) -> bool {
        let revival = *self
            .revival
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        self.faults().mode == fault::Mode::Dead
            || revival.is_some_and(|at| time::Instant::now() < at)
    }

    /// Makes the target die for the time that its faults state.
    pub fn crash(&self) {
        self.crashes.fetch_add(1, atomic::Ordering::Relaxed);
        let away = time::Duration::from_millis(self.faults().crash_millis);
        let mut revival = self
            .revival
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *revival = Some(time::Instant::now() + away);
    }

    /// Counts the start of a request.
    pub fn count_start(&self, key: &str) {
        let mut starts = self
            .starts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *starts.entry(key.to_owned()).or_default() += 1;
    }

    /// Returns what a test reads.
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
