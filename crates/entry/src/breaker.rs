//! Circuit breaker for requests that crash targets, one circuit for each request fingerprint.
//!
//! A request whose fingerprint is suspected runs on one host at a time: a row in the platform's
//! table is the lock of the probe.

use std::sync;
use std::time;

use skylark_core::idempotency as keys;
use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::quarantine;
use skylark_runtime::identity;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use super::exchange;
use super::idempotency;
use super::state;

/// Time for which an exchange is observed for a crash after its caller has stopped waiting.
const CRASH_OBSERVATION: time::Duration = time::Duration::from_millis(200);
/// Longest wait for the probe lock, including unanswered calls of the platform.
const PROBE_LOCK_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Delay between two attempts to take the probe lock.
const PROBE_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Circuit breaker of this host, shared by its tasks.
#[derive(Debug)]
pub struct SharedBreaker {
    inner: sync::Mutex<quarantine::Breaker>,
    changed: tokio::sync::Notify,
}

/// Guard of a request that runs under its fingerprint, until it finishes or the guard is dropped.
#[derive(Debug)]
pub struct RunGuard {
    state: sync::Arc<state::State>,
    fingerprint: keys::Fingerprint,
    probe: Option<ProbeRow>,
    is_finished: bool,
}

/// Row of the probe lock, as this process wrote it.
#[derive(Clone, Debug)]
struct ProbeRow {
    key: String,
    version: u64,
}

/// Result of an attempt to take the probe lock.
#[derive(Debug)]
enum ProbeResult {
    Acquired(ProbeRow),
    Taken,
    Unavailable,
}

impl SharedBreaker {
    /// Creates a circuit breaker that has seen no requests.
    #[must_use]
    pub fn new(reporter: &name::Incarnation) -> Self {
        let limits = quarantine::Limits::default();
        Self {
            inner: sync::Mutex::new(quarantine::Breaker::new(limits, reporter)),
            changed: tokio::sync::Notify::new(),
        }
    }

    /// Records a crash that another host has reported.
    pub fn record_remote(&self, now: instant::Instant, crash: &quarantine::Crash) {
        self.lock().record_remote(now, crash);
        self.changed.notify_waiters();
    }

    fn lock(&self) -> sync::MutexGuard<'_, quarantine::Breaker> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Waits until a request with this fingerprint may be sent to a target.
///
/// # Errors
///
/// Refuses a quarantined fingerprint, and one that may not run before the deadline.
pub async fn admit(
    state: &sync::Arc<state::State>,
    fingerprint: keys::Fingerprint,
    deadline: instant::Instant,
) -> exchange::Result<RunGuard> {
    loop {
        // Enabled before the check, so that a change between check and wait is not missed.
        let changed = state.breaker.changed.notified();
        let mut changed = std::pin::pin!(changed);
        changed.as_mut().enable();
        let action = state.breaker.lock().admit(state.clock.now(), fingerprint);
        let action = match action {
            quarantine::Action::Probe => return probe(state, fingerprint, deadline).await,
            other => other,
        };
        match action {
            quarantine::Action::Run => return Ok(RunGuard::new(state, fingerprint, None)),
            quarantine::Action::Refuse | quarantine::Action::Probe => return Err(quarantined()),
            quarantine::Action::Wait => {}
        }
        let remaining = deadline.since(state.clock.now());
        if tokio::time::timeout(remaining, changed).await.is_err() {
            return Err(exchange::Refusal::new(kind::ErrorKind::DeadlineUnmet));
        }
    }
}

/// Lets a suspected request run if this host takes the probe lock.
///
/// If the platform does not respond, the host decides on its own, with the limits for that case.
async fn probe(
    state: &sync::Arc<state::State>,
    fingerprint: keys::Fingerprint,
    deadline: instant::Instant,
) -> exchange::Result<RunGuard> {
    let timeout = deadline.since(state.clock.now()).min(PROBE_LOCK_TIMEOUT);
    let result = tokio::time::timeout(timeout, acquire_probe(state, fingerprint)).await;
    let result = result.unwrap_or(ProbeResult::Unavailable);
    let now = state.clock.now();
    let (action, row) = match result {
        ProbeResult::Acquired(row) => (
            state.breaker.lock().admit_probe(now, fingerprint),
            Some(row),
        ),
        ProbeResult::Taken => (quarantine::Action::Refuse, None),
        ProbeResult::Unavailable => (state.breaker.lock().admit_offline(now, fingerprint), None),
    };
    if action == quarantine::Action::Run {
        return Ok(RunGuard::new(state, fingerprint, row));
    }
    if let Some(row) = row {
        release_probe(state, row);
    }
    Err(quarantined())
}

/// Takes the probe lock, with retries for a short time while another host holds it.
async fn acquire_probe(state: &state::State, fingerprint: keys::Fingerprint) -> ProbeResult {
    let started = state.clock.now();
    loop {
        let result = try_acquire_probe(state, fingerprint).await;
        let elapsed = state.clock.now().since(started);
        if !matches!(result, ProbeResult::Taken) || elapsed > PROBE_LOCK_TIMEOUT / 2 {
            return result;
        }
        tokio::time::sleep(PROBE_RETRY_DELAY).await;
    }
}

/// Writes the row of the probe lock on condition that it is free.
async fn try_acquire_probe(state: &state::State, fingerprint: keys::Fingerprint) -> ProbeResult {
    let key = quarantine::ProbeLock::key(fingerprint);
    let Ok(found) = state.platform.row(&key).await else {
        return ProbeResult::Unavailable;
    };
    let window = quarantine::Limits::default().window;
    let current = found.as_ref().map_or(0, |row| row.version);
    let lock =
        found.and_then(|row| serde_json::from_value::<quarantine::ProbeLock>(row.value).ok());
    if lock.is_some_and(|lock| lock.is_held(state.clock.wall(), window)) {
        return ProbeResult::Taken;
    }
    let Ok(id) = identity::random_hex() else {
        return ProbeResult::Unavailable;
    };
    let now = state.clock.wall();
    let probe = quarantine::ProbeLock {
        write_id: id,
        acquired: now,
    };
    let value = serde_json::to_value(&probe).ok();
    let version = current + 1;
    match commit(state, &key, current, value).await {
        Ok(()) => ProbeResult::Acquired(ProbeRow { key, version }),
        Err(platform::Error::Conflict { .. }) => ProbeResult::Taken,
        Err(_unknown) => read_back(state, key, version, &probe).await,
    }
}

/// Reads whether a write took effect whose result is unknown.
async fn read_back(
    state: &state::State,
    key: String,
    version: u64,
    probe: &quarantine::ProbeLock,
) -> ProbeResult {
    let Ok(Some(found)) = state.platform.row(&key).await else {
        return ProbeResult::Unavailable;
    };
    match serde_json::from_value::<quarantine::ProbeLock>(found.value) {
        Ok(stored) if stored == *probe => ProbeResult::Acquired(ProbeRow { key, version }),
        _ => ProbeResult::Taken,
    }
}

async fn commit(
    state: &state::State,
    key: &str,
    version: u64,
    value: Option<serde_json::Value>,
) -> platform::Result<()> {
    let condition = platform::Condition {
        key: key.to_owned(),
        version,
    };
    let write = platform::Write {
        key: key.to_owned(),
        value,
    };
    let commit = platform::Commit {
        conditions: vec![condition],
        writes: vec![write],
    };
    state.platform.commit(&commit).await
}

fn quarantined() -> exchange::Refusal {
    exchange::Refusal::new(kind::ErrorKind::Quarantined)
}

/// Releases the probe lock in the background, so that other hosts may run the request too.
fn release_probe(state: &sync::Arc<state::State>, row: ProbeRow) {
    let state = sync::Arc::clone(state);
    tokio::spawn(async move {
        if let Err(error) = commit(&state, &row.key, row.version, None).await {
            log::debug!(error:% = error; "the probe lock could not be released; it expires on its own");
        }
    });
}

impl RunGuard {
    fn new(
        state: &sync::Arc<state::State>,
        fingerprint: keys::Fingerprint,
        probe: Option<ProbeRow>,
    ) -> Self {
        Self {
            state: sync::Arc::clone(state),
            fingerprint,
            probe,
            is_finished: false,
        }
    }

    /// Returns how long an abandoned exchange is observed, to see whether it crashes its target.
    ///
    /// Zero for a fingerprint that a target has already answered.
    #[must_use]
    pub fn observation_time(&self) -> time::Duration {
        let now = self.state.clock.now();
        if self.state.breaker.lock().is_trusted(now, self.fingerprint) {
            time::Duration::ZERO
        } else {
            CRASH_OBSERVATION
        }
    }

    /// Records how the run ended, and reports a crash of the target to other hosts.
    ///
    /// After a crash the probe lock stays in the table until it expires.
    pub fn finish(mut self, outcome: quarantine::RunOutcome) {
        if !matches!(outcome, quarantine::RunOutcome::Crashed(_)) {
            self.release_probe_lock();
        }
        self.record(outcome);
    }

    fn record(&mut self, outcome: quarantine::RunOutcome) {
        self.is_finished = true;
        let now = self.state.clock.now();
        let crash = self
            .state
            .breaker
            .lock()
            .finish(now, self.fingerprint, outcome);
        self.state.breaker.changed.notify_waiters();
        if let Some(crash) = crash {
            log::warn!(print = self.fingerprint.to_hex(), target:% = crash.target; "a target crashed while it ran a request with this fingerprint");
            idempotency::broadcast_crash(&self.state, &crash);
        }
    }

    fn release_probe_lock(&mut self) {
        if let Some(row) = self.probe.take() {
            release_probe(&self.state, row);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.record(quarantine::RunOutcome::Inconclusive);
        }
    }
}
