//! Holding back requests that crash targets.

use std::sync;
use std::time;

use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::once as rules;
use skylark_core::quarantine;
use skylark_runtime::identity;
use skylark_wire::platform;
use skylark_wire::platform::Platform as _;

use super::exchange;
use super::idempotency;
use super::state;

const GRACE: time::Duration = time::Duration::from_millis(200);
const PROBE_LIMIT: time::Duration = time::Duration::from_millis(800);
const PROBE_PAUSE: time::Duration = time::Duration::from_millis(50);

/// What this host knows of fingerprints and deaths, shared by its tasks.
#[derive(Debug)]
pub struct SharedBreaker {
    inner: sync::Mutex<quarantine::Breaker>,
    changed: tokio::sync::Notify,
}

/// A request that counts as running under its fingerprint until this is dropped.
#[derive(Debug)]
pub struct RunGuard {
    state: sync::Arc<state::State>,
    print: rules::Print,
    probe: Option<Row>,
    is_over: bool,
}

/// The probe's row, as this process wrote it.
#[derive(Clone, Debug)]
struct Row {
    key: String,
    version: u64,
}

/// What the table says of a probe.
#[derive(Debug)]
enum Probing {
    Granted(Row),
    Taken,
    Unheard,
}

impl SharedBreaker {
    /// Creates the knowledge of a process that has seen nothing.
    #[must_use]
    pub fn new(witness: &name::Incarnation) -> Self {
        let limits = quarantine::Limits::default();
        Self {
            inner: sync::Mutex::new(quarantine::Breaker::new(limits, witness)),
            changed: tokio::sync::Notify::new(),
        }
    }

    /// Takes in news from another host.
    pub fn hear(&self, now: instant::Instant, death: &quarantine::Crash) {
        self.lock().record_remote(now, death);
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
/// Refuses a fingerprint that is held back, or one whose turn does not come in time.
pub async fn enter(
    state: &sync::Arc<state::State>,
    print: rules::Print,
    deadline: instant::Instant,
) -> exchange::Result<RunGuard> {
    loop {
        let changed = state.breaker.changed.notified();
        let mut changed = std::pin::pin!(changed);
        changed.as_mut().enable();
        let pass = state.breaker.lock().admit(state.clock.now(), print);
        let pass = match pass {
            quarantine::Action::Probe => return probe(state, print, deadline).await,
            other => other,
        };
        match pass {
            quarantine::Action::Run => return Ok(RunGuard::new(state, print, None)),
            quarantine::Action::Refuse | quarantine::Action::Probe => return Err(held()),
            quarantine::Action::Wait => {}
        }
        let left = deadline.since(state.clock.now());
        if tokio::time::timeout(left, changed).await.is_err() {
            return Err(exchange::Refusal::new(kind::ErrorKind::DeadlineUnmet));
        }
    }
}

/// Sends a suspect request with the table's probe, or alone where the table does not answer.
async fn probe(
    state: &sync::Arc<state::State>,
    print: rules::Print,
    deadline: instant::Instant,
) -> exchange::Result<RunGuard> {
    let limit = deadline.since(state.clock.now()).min(PROBE_LIMIT);
    let probing = tokio::time::timeout(limit, obtain(state, print)).await;
    let probing = probing.unwrap_or(Probing::Unheard);
    let now = state.clock.now();
    let (pass, row) = match probing {
        Probing::Granted(row) => (state.breaker.lock().admit_probe(now, print), Some(row)),
        Probing::Taken => (quarantine::Action::Refuse, None),
        Probing::Unheard => (state.breaker.lock().admit_offline(now, print), None),
    };
    if pass == quarantine::Action::Run {
        return Ok(RunGuard::new(state, print, row));
    }
    if let Some(row) = row {
        free(state, row);
    }
    Err(held())
}

/// Takes the probe, waiting a little while another host has it.
async fn obtain(state: &state::State, print: rules::Print) -> Probing {
    let begun = state.clock.now();
    loop {
        let probing = try_obtain(state, print).await;
        let spent = state.clock.now().since(begun);
        if !matches!(probing, Probing::Taken) || spent > PROBE_LIMIT / 2 {
            return probing;
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
}

async fn try_obtain(state: &state::State, print: rules::Print) -> Probing {
    let key = quarantine::ProbeLock::key(print);
    let Ok(found) = state.platform.row(&key).await else {
        return Probing::Unheard;
    };
    let window = quarantine::Limits::default().window;
    let present = found.as_ref().map_or(0, |row| row.version);
    let known =
        found.and_then(|row| serde_json::from_value::<quarantine::ProbeLock>(row.value).ok());
    if known.is_some_and(|known| known.is_held(state.clock.wall(), window)) {
        return Probing::Taken;
    }
    let Ok(write) = identity::random_hex() else {
        return Probing::Unheard;
    };
    let taken = state.clock.wall();
    let probe = quarantine::ProbeLock {
        write_id: write,
        acquired: taken,
    };
    let value = serde_json::to_value(&probe).ok();
    let version = present + 1;
    match commit(state, &key, present, value).await {
        Ok(()) => Probing::Granted(Row { key, version }),
        Err(platform::Error::Conflict { .. }) => Probing::Taken,
        Err(_doubt) => read_back(state, key, version, &probe).await,
    }
}

async fn read_back(
    state: &state::State,
    key: String,
    version: u64,
    probe: &quarantine::ProbeLock,
) -> Probing {
    let Ok(Some(found)) = state.platform.row(&key).await else {
        return Probing::Unheard;
    };
    match serde_json::from_value::<quarantine::ProbeLock>(found.value) {
        Ok(known) if known == *probe => Probing::Granted(Row { key, version }),
        _ => Probing::Taken,
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

fn held() -> exchange::Refusal {
    exchange::Refusal::new(kind::ErrorKind::Quarantined)
}

/// Removes the probe's row, so that other hosts may run the request too.
fn free(state: &sync::Arc<state::State>, row: Row) {
    let state = sync::Arc::clone(state);
    tokio::spawn(async move {
        if let Err(error) = commit(&state, &row.key, row.version, None).await {
            log::debug!(error:% = error; "probe not freed");
        }
    });
}

impl RunGuard {
    fn new(state: &sync::Arc<state::State>, print: rules::Print, probe: Option<Row>) -> Self {
        Self {
            state: sync::Arc::clone(state),
            print,
            probe,
            is_over: false,
        }
    }

    /// Returns how long a late exchange is watched, to see whether its target dies.
    #[must_use]
    pub fn grace(&self) -> time::Duration {
        let now = self.state.clock.now();
        if self.state.breaker.lock().is_trusted(now, self.print) {
            time::Duration::ZERO
        } else {
            GRACE
        }
    }

    /// Takes in how the exchange ended and tells other hosts of a death.
    pub fn end(mut self, ending: quarantine::RunOutcome) {
        if !matches!(ending, quarantine::RunOutcome::Crashed(_)) {
            self.free_probe();
        }
        self.leave(ending);
    }

    fn leave(&mut self, ending: quarantine::RunOutcome) {
        self.is_over = true;
        let now = self.state.clock.now();
        let death = self.state.breaker.lock().finish(now, self.print, ending);
        self.state.breaker.changed.notify_waiters();
        if let Some(death) = death {
            log::warn!(print = self.print.to_hex(), target:% = death.target; "target died");
            idempotency::spread(&self.state, &death);
        }
    }

    fn free_probe(&mut self) {
        if let Some(row) = self.probe.take() {
            free(&self.state, row);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.is_over {
            self.leave(quarantine::RunOutcome::Inconclusive);
        }
    }
}
