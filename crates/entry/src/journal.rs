//! Decisions that wait to be stored as objects.

use std::collections;
use std::io;
use std::sync;
use std::sync::atomic;
use std::time;

use skylark_core::decision;
use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::record;
use skylark_core::steer;
use skylark_core::timestamp;
use skylark_core::unit;
use skylark_wire::platform::Platform as _;

use super::exchange;
use super::forward;
use super::state;
use super::view;

const CAPACITY: usize = 65_536;
const OBJECT: usize = 4_096;

/// Decisions in memory, bounded.
#[derive(Debug, Default)]
pub struct Journal {
    waiting: sync::Mutex<collections::VecDeque<decision::Decision>>,
    noted: sync::Mutex<collections::HashSet<name::Request>>,
    lost: atomic::AtomicU64,
    batch: atomic::AtomicU64,
}

/// The steps of one request that is being run.
#[derive(Debug)]
pub struct Trace {
    /// Seed of the request's draws.
    pub seed: steer::Seed,
    /// Time that the caller waits, none for batch work.
    pub deadline: Option<time::Duration>,
    /// Version of the records that the steps used.
    pub version: unit::Version,
    /// The steps, in the order taken.
    pub steps: Vec<decision::Step>,
    id: Option<name::Request>,
    service: name::Service,
    account: Option<name::Account>,
    at: timestamp::Timestamp,
    begun: instant::Instant,
}

impl Trace {
    /// Begins the trace of a request.
    #[must_use]
    pub fn new(
        state: &state::State,
        service: &record::Service,
        account: Option<&name::Account>,
        request: &exchange::Request,
    ) -> Self {
        let id = name::Request::new(&request.id).ok();
        Self {
            seed: id.as_ref().map(steer::Seed::of).unwrap_or_default(),
            deadline: None,
            version: state.view().catalog.version,
            steps: Vec::new(),
            id,
            service: service.name.clone(),
            account: account.cloned(),
            at: state.clock.wall(),
            begun: state.clock.now(),
        }
    }

    /// Adds a refusal by a check before steering.
    #[must_use]
    pub fn check(&mut self, refusal: exchange::Refusal) -> exchange::Refusal {
        self.steps
            .push(decision::Step::Check { kind: refusal.kind });
        refusal
    }

    /// Adds the end of an exchange with a target.
    pub fn sent(
        &mut self,
        target: &name::Target,
        result: &forward::Result<exchange::Response>,
        spent: time::Duration,
    ) {
        let end = match result {
            Ok(answer) => decision::SendResult::Answered(answer.status.as_u16()),
            Err(
                forward::Failure::NotStarted
                | forward::Failure::Shed(_)
                | forward::Failure::AccessDenied,
            ) => decision::SendResult::NotStarted,
            Err(forward::Failure::Disconnected | forward::Failure::InvalidResponse) => {
                decision::SendResult::Broken
            }
            Err(forward::Failure::TimedOut) => decision::SendResult::Expired,
        };
        self.steps.push(decision::Step::Send {
            target: target.clone(),
            end,
            time: micros(spent),
        });
    }

    /// Adds that no further attempt may be made, and returns the refusal.
    #[must_use]
    pub fn exhausted(&mut self) -> exchange::Refusal {
        let kind = kind::ErrorKind::Overloaded;
        self.steps.push(decision::Step::RetryDenied { kind });
        exchange::Refusal::new(kind)
    }

    /// Ends the trace; its decision waits to be stored.
    pub fn finish(self, state: &state::State, result: &exchange::Result<exchange::Response>) {
        let Some(id) = self.id else {
            return;
        };
        if id.as_str().starts_with(state.incarnation.as_str()) {
            state.journal.mark(id.clone());
        }
        let decision = decision::Decision {
            schema: decision::Decision::SCHEMA,
            id,
            at: self.at,
            host: state.settings.host.clone(),
            incarnation: state.incarnation.clone(),
            version: self.version,
            plan: None,
            service: Some(self.service),
            account: self.account,
            seed: self.seed,
            deadline: self.deadline.map(micros),
            steps: self.steps,
            verdict: verdict(result),
            latency: micros(state.clock.now().since(self.begun)),
            digest: decision::Digest::NONE,
        };
        state.journal.add(decision);
    }
}

impl Journal {
    /// Returns how many decisions were dropped before they were stored.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.lost.load(atomic::Ordering::Relaxed)
    }

    /// Keeps a decision until it is stored; the oldest is lost when there are too many.
    fn add(&self, decision: decision::Decision) {
        let mut waiting = lock(&self.waiting);
        if waiting.len() >= CAPACITY {
            waiting.pop_front();
            self.lost.fetch_add(1, atomic::Ordering::Relaxed);
        }
        waiting.push_back(decision);
    }

    /// Remembers that the decision on a request of this process was added.
    fn mark(&self, id: name::Request) {
        let mut noted = lock(&self.noted);
        if noted.len() >= CAPACITY {
            noted.clear();
        }
        noted.insert(id);
    }

    /// Takes the decisions of the next object.
    fn take(&self) -> Vec<decision::Decision> {
        let mut waiting = lock(&self.waiting);
        let count = waiting.len().min(OBJECT);
        waiting.drain(..count).collect()
    }
}

/// Remembers a request that ended without being run by this process.
pub fn note(
    state: &state::State,
    view: &view::View,
    id: &str,
    arrived: instant::Instant,
    result: &exchange::Result<exchange::Response>,
) {
    let Ok(id) = name::Request::new(id) else {
        return;
    };
    if lock(&state.journal.noted).remove(&id) {
        return;
    }
    let step = match result {
        Ok(answer) => decision::Step::StoredAnswer {
            target: answer.target.clone(),
            status: answer.status.as_u16(),
        },
        Err(refusal) => decision::Step::Check { kind: refusal.kind },
    };
    state.journal.add(decision::Decision {
        schema: decision::Decision::SCHEMA,
        seed: steer::Seed::of(&id),
        id,
        at: state.clock.wall(),
        host: state.settings.host.clone(),
        incarnation: state.incarnation.clone(),
        version: view.catalog.version,
        plan: None,
        service: None,
        account: None,
        deadline: None,
        steps: vec![step],
        verdict: verdict(result),
        latency: micros(state.clock.now().since(arrived)),
        digest: decision::Digest::NONE,
    });
}

/// Stores waiting decisions from time to time until the task is dropped.
///
/// # Errors
///
/// Never fails: decisions stay in memory while the platform is away.
pub async fn run(state: sync::Arc<state::State>) -> io::Result<()> {
    loop {
        tokio::time::sleep(state.view().write_period()).await;
        flush(&state).await;
    }
}

/// Stores the waiting decisions, some objects of bounded size.
pub async fn flush(state: &state::State) {
    loop {
        let decisions = state.journal.take();
        if decisions.is_empty() || !store(state, decisions).await {
            return;
        }
    }
}

/// Seals and stores decisions as one object; keeps them when the platform is away.
async fn store(state: &state::State, decisions: Vec<decision::Decision>) -> bool {
    let batch = state.journal.batch.fetch_add(1, atomic::Ordering::Relaxed);
    let key = format!("decisions/{}/{batch:08}", state.incarnation);
    // Writing a batch takes milliseconds, which requests on the same thread would wait for.
    let task = tokio::task::spawn_blocking(move || Batch::new(decisions));
    let Ok(Batch { sealed, body }) = task.await else {
        return false;
    };
    let Err(error) = state.platform.put(&key, body).await else {
        return true;
    };
    let lost = state.journal.lost();
    log::debug!(error:% = error, decisions = sealed.len(), lost; "decisions not stored");
    let mut waiting = lock(&state.journal.waiting);
    for decision in sealed.into_iter().rev() {
        waiting.push_front(decision);
    }
    let excess = waiting.len().saturating_sub(CAPACITY);
    waiting.drain(..excess);
    let excess = u64::try_from(excess).unwrap_or(u64::MAX);
    state
        .journal
        .lost
        .fetch_add(excess, atomic::Ordering::Relaxed);
    false
}

/// Sealed decisions and the object that holds them.
struct Batch {
    sealed: Vec<decision::Decision>,
    body: Vec<u8>,
}

impl Batch {
    fn new(decisions: Vec<decision::Decision>) -> Self {
        let sealed = decisions.into_iter().map(decision::Decision::with_digest);
        let sealed: Vec<decision::Decision> = sealed.collect();
        let body = serde_json::to_vec(&sealed).unwrap_or_default();
        Self { sealed, body }
    }
}

fn verdict(result: &exchange::Result<exchange::Response>) -> decision::Verdict {
    match result {
        Ok(answer) => decision::Verdict::Served {
            target: answer.target.clone(),
            status: answer.status.as_u16(),
        },
        Err(refusal) => decision::Verdict::Refused {
            kind: refusal.kind,
            outcome: refusal.outcome,
        },
    }
}

fn micros(span: time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
