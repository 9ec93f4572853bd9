//! Bounded buffer of decision records, which are written to the object store in batches.

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

/// Decisions in memory, and ids of requests whose decisions were already added.
const MAX_BUFFERED: usize = 65_536;
/// Decisions in one stored object.
const MAX_BATCH: usize = 4_096;

/// Buffer of decisions that are not stored yet; the oldest are dropped when it is full.
#[derive(Debug, Default)]
pub struct Journal {
    pending: sync::Mutex<collections::VecDeque<decision::Decision>>,
    recorded: sync::Mutex<collections::HashSet<name::Request>>,
    dropped: atomic::AtomicU64,
    batches: atomic::AtomicU64,
}

/// Trace of one request while it runs, which becomes its decision record.
#[derive(Debug)]
pub struct Trace {
    /// Seed of the request's random choices.
    pub seed: steer::Seed,
    /// Time that the caller waits for a response; none for batch work.
    pub deadline: Option<time::Duration>,
    /// Version of the records that the last choice of a target used.
    pub version: unit::Version,
    /// Steps so far, in order.
    pub steps: Vec<decision::Step>,
    id: Option<name::Request>,
    service: name::Service,
    account: Option<name::Account>,
    started_at: timestamp::Timestamp,
    started: instant::Instant,
}

impl Trace {
    /// Starts the trace of a request.
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
            started_at: state.clock.wall(),
            started: state.clock.now(),
        }
    }

    /// Records a refusal by a check outside load balancing, and returns it.
    #[must_use]
    pub fn record_check(&mut self, refusal: exchange::Refusal) -> exchange::Refusal {
        self.steps
            .push(decision::Step::Check { kind: refusal.kind });
        refusal
    }

    /// Records the end of an exchange with a target.
    pub fn record_send(
        &mut self,
        target: &name::Target,
        result: &forward::Result<exchange::Response>,
        elapsed: time::Duration,
    ) {
        let end = match result {
            Ok(response) => decision::SendResult::Answered(response.status.as_u16()),
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
            time: micros(elapsed),
        });
    }

    /// Records that no retry is allowed, by budget or number, and returns the refusal.
    #[must_use]
    pub fn record_retry_denied(&mut self) -> exchange::Refusal {
        let kind = kind::ErrorKind::Overloaded;
        self.steps.push(decision::Step::RetryDenied { kind });
        exchange::Refusal::new(kind)
    }

    /// Ends the trace and adds its decision to the journal.
    ///
    /// Nothing is added for a request whose id is invalid.
    pub fn finish(self, state: &state::State, result: &exchange::Result<exchange::Response>) {
        let Some(id) = self.id else {
            return;
        };
        if id.as_str().starts_with(state.incarnation.as_str()) {
            state.journal.mark_recorded(id.clone());
        }
        let decision = decision::Decision {
            schema: decision::Decision::SCHEMA,
            id,
            at: self.started_at,
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
            latency: micros(state.clock.now().since(self.started)),
            digest: decision::Digest::NONE,
        };
        state.journal.add(decision);
    }
}

impl Journal {
    /// Returns the number of decisions that were dropped before they were stored.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(atomic::Ordering::Relaxed)
    }

    /// Adds a decision to the buffer, and drops the oldest one if the buffer is full.
    fn add(&self, decision: decision::Decision) {
        let mut pending = lock(&self.pending);
        if pending.len() >= MAX_BUFFERED {
            pending.pop_front();
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
        pending.push_back(decision);
    }

    /// Remembers that the decision on a request that this process received was added.
    ///
    /// The set is cleared when it is full: a lost entry costs one duplicate decision.
    fn mark_recorded(&self, id: name::Request) {
        let mut recorded = lock(&self.recorded);
        if recorded.len() >= MAX_BUFFERED {
            recorded.clear();
        }
        recorded.insert(id);
    }

    /// Takes the oldest decisions, as many as fit in one object.
    fn take_batch(&self) -> Vec<decision::Decision> {
        let mut pending = lock(&self.pending);
        let count = pending.len().min(MAX_BATCH);
        pending.drain(..count).collect()
    }
}

/// Adds the decision on a received request that this process refused early or did not run.
///
/// Does nothing if the trace of a run has already added the decision.
pub fn record_unrun(
    state: &state::State,
    view: &view::View,
    id: &str,
    received_at: instant::Instant,
    result: &exchange::Result<exchange::Response>,
) {
    let Ok(id) = name::Request::new(id) else {
        return;
    };
    if lock(&state.journal.recorded).remove(&id) {
        return;
    }
    let step = match result {
        Ok(response) => decision::Step::StoredAnswer {
            target: response.target.clone(),
            status: response.status.as_u16(),
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
        latency: micros(state.clock.now().since(received_at)),
        digest: decision::Digest::NONE,
    });
}

/// Stores pending decisions at intervals until the task is dropped.
///
/// # Errors
///
/// Never fails: decisions stay in memory while the platform is unavailable.
pub async fn run(state: sync::Arc<state::State>) -> io::Result<()> {
    loop {
        tokio::time::sleep(state.view().write_period()).await;
        flush(&state).await;
    }
}

/// Stores all pending decisions, in objects of bounded size.
pub async fn flush(state: &state::State) {
    loop {
        let decisions = state.journal.take_batch();
        if decisions.is_empty() || !store(state, decisions).await {
            return;
        }
    }
}

/// Stores decisions as one object; returns them to the buffer if the platform is unavailable.
///
/// Returns whether they were stored.
async fn store(state: &state::State, decisions: Vec<decision::Decision>) -> bool {
    let batch = state
        .journal
        .batches
        .fetch_add(1, atomic::Ordering::Relaxed);
    let key = format!("decisions/{}/{batch:08}", state.incarnation);
    // Serializing a batch takes milliseconds, which would delay requests on the same thread.
    let task = tokio::task::spawn_blocking(move || Batch::new(decisions));
    let Ok(Batch { decisions, body }) = task.await else {
        return false;
    };
    let Err(error) = state.platform.put(&key, body).await else {
        return true;
    };
    let lost = state.journal.dropped();
    log::debug!(error:% = error, decisions = decisions.len(), lost; "the decisions could not be stored; keeping them for the next attempt");
    let mut pending = lock(&state.journal.pending);
    for decision in decisions.into_iter().rev() {
        pending.push_front(decision);
    }
    let excess = pending.len().saturating_sub(MAX_BUFFERED);
    pending.drain(..excess);
    let excess = u64::try_from(excess).unwrap_or(u64::MAX);
    state
        .journal
        .dropped
        .fetch_add(excess, atomic::Ordering::Relaxed);
    false
}

/// Decisions with their digests, and the JSON object that holds them.
struct Batch {
    decisions: Vec<decision::Decision>,
    body: Vec<u8>,
}

impl Batch {
    fn new(decisions: Vec<decision::Decision>) -> Self {
        let decisions = decisions.into_iter().map(decision::Decision::with_digest);
        let decisions: Vec<decision::Decision> = decisions.collect();
        let body = serde_json::to_vec(&decisions).unwrap_or_default();
        Self { decisions, body }
    }
}

fn verdict(result: &exchange::Result<exchange::Response>) -> decision::Verdict {
    match result {
        Ok(response) => decision::Verdict::Served {
            target: response.target.clone(),
            status: response.status.as_u16(),
        },
        Err(refusal) => decision::Verdict::Refused {
            kind: refusal.kind,
            outcome: refusal.outcome,
        },
    }
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
