//! Asking for a place at a target, waiting for one if need be.

use std::sync;
use std::time;

use skylark_core::catalog;
use skylark_core::decision;
use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::record;
use skylark_core::steer;
use skylark_runtime::clock;
use tokio::sync::oneshot;

use super::service_balancer;
use super::services;
use super::slot_guard;
use crate::exchange;

/// Time after which one who waits looks whether other hosts left slots free.
const LOOK_PERIOD: time::Duration = time::Duration::from_millis(10);

/// What this host knows of all targets, shared by its tasks.
#[derive(Clone, Debug)]
pub struct Balancer {
    inner: sync::Arc<Inner>,
    zone: name::Zone,
}

/// The lines of all services under their lock.
#[derive(Debug)]
pub struct Inner(sync::Mutex<services::Services>);

/// One attempt of a request that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The records in force.
    pub catalog: &'a sync::Arc<catalog::Catalog>,
    /// Entry hosts that are known to serve.
    pub hosts: usize,
    /// Service of the request.
    pub service: &'a record::Service,
    /// Client account of the request.
    pub account: Option<&'a name::Account>,
    /// Seed of the request's draws.
    pub seed: steer::Seed,
    /// Deadline, none for batch work.
    pub deadline: Option<instant::Instant>,
    /// Targets that were tried before.
    pub tried: &'a [name::Target],
}

impl Balancer {
    /// Creates the knowledge of a process in an availability zone that has seen nothing.
    #[must_use]
    pub fn new(zone: &name::Zone) -> Self {
        Self {
            inner: sync::Arc::new(Inner(sync::Mutex::new(services::Services::new()))),
            zone: zone.clone(),
        }
    }

    /// Counts a success, which pays for later further attempts.
    pub fn succeed(&self) {
        self.inner.lock().retry.record_success();
    }

    /// Takes one further attempt from the budget; returns whether it may be made.
    #[must_use]
    pub fn may_retry(&self, now: instant::Instant) -> bool {
        self.inner.lock().retry.take(now)
    }

    /// Returns a place at a target, after waiting for a slot if need be.
    ///
    /// Adds each step taken to `steps`.
    ///
    /// # Errors
    ///
    /// Refuses, with nothing sent, when no target can answer in time.
    pub async fn take(
        &self,
        ask: Request<'_>,
        clock: &clock::Clock,
        steps: &mut Vec<decision::Step>,
    ) -> exchange::Result<slot_guard::SlotGuard> {
        let asked = clock.now();
        let mut receiver = match self.begin(&ask, asked, steps)? {
            Begun::Selection(turn) => return self.seat(&ask, turn, clock, steps),
            Begun::Waits(receiver) => receiver,
        };
        let turn = self.wait(&ask, clock, &mut receiver).await;
        let time = u64::try_from(clock.now().since(asked).as_micros()).unwrap_or(u64::MAX);
        let Some(turn) = turn else {
            let is_late = ask.deadline.is_some_and(|deadline| clock.now() >= deadline);
            let kind = if is_late {
                kind::ErrorKind::DeadlineUnmet
            } else {
                kind::ErrorKind::Overloaded
            };
            steps.push(decision::Step::Dropped { kind, time });
            return Err(exchange::Refusal::new(kind));
        };
        if turn.version != ask.catalog.version {
            steps.clear();
        }
        steps.push(decision::Step::Waited { time });
        self.seat(&ask, turn, clock, steps)
    }

    /// Chooses a target at once, or lets the request wait.
    fn begin(
        &self,
        ask: &Request<'_>,
        now: instant::Instant,
        steps: &mut Vec<decision::Step>,
    ) -> exchange::Result<Begun> {
        let mut lines = self.inner.lock();
        lines.install(ask.catalog, &self.zone, ask.hosts, now);
        let none = exchange::Refusal::new(kind::ErrorKind::NoTarget);
        let line = lines.get(&ask.service.name).ok_or(none)?;
        let wish = wish(ask, line);
        if !line.is_busy(&wish) {
            let turn = line.choose(&wish, now);
            let turn = turn.ok_or(exchange::Refusal::new(kind::ErrorKind::NoTarget))?;
            if turn.choice != steer::Choice::NoFreeSlot {
                return Ok(Begun::Selection(turn));
            }
            steps.push(step(turn));
        }
        let (sender, receiver) = oneshot::channel();
        let entered = line.enter(service_balancer::Waiter { wish, sender }, now);
        steps.push(decision::Step::Admit {
            inputs: entered.inputs,
            ruling: entered.ruling,
        });
        match entered.ruling {
            steer::AdmissionResult::Wait => Ok(Begun::Waits(receiver)),
            steer::AdmissionResult::Refuse(kind) => Err(exchange::Refusal::new(kind)),
        }
    }

    /// Waits for a turn; none when the request is displaced or its deadline passes.
    async fn wait(
        &self,
        ask: &Request<'_>,
        clock: &clock::Clock,
        receiver: &mut oneshot::Receiver<service_balancer::Selection>,
    ) -> Option<service_balancer::Selection> {
        loop {
            let left = ask
                .deadline
                .map_or(LOOK_PERIOD, |deadline| deadline.since(clock.now()));
            if let Ok(turn) = tokio::time::timeout(LOOK_PERIOD.min(left), &mut *receiver).await {
                return turn.ok();
            }
            let now = clock.now();
            if ask.deadline.is_some_and(|deadline| now >= deadline) {
                receiver.close();
                return receiver.try_recv().ok();
            }
            self.inner.dispatch(&ask.service.name, now);
        }
    }

    /// Takes the place that a choice gave, or refuses as the choice says.
    fn seat(
        &self,
        ask: &Request<'_>,
        turn: service_balancer::Selection,
        clock: &clock::Clock,
        steps: &mut Vec<decision::Step>,
    ) -> exchange::Result<slot_guard::SlotGuard> {
        let (choice, target) = (turn.choice, turn.target.clone());
        let version = turn.version;
        steps.push(step(turn));
        let target = target.ok_or(exchange::Refusal::new(refused(choice)))?;
        let shared = sync::Arc::clone(&self.inner);
        let service = ask.service.name.clone();
        Ok(slot_guard::SlotGuard::new(
            target, version, shared, service, *clock,
        ))
    }
}

impl Inner {
    /// Counts the end of an exchange, and gives free slots to those who wait.
    pub fn end(
        &self,
        service: &name::Service,
        target: &name::Target,
        end: steer::Completion,
        word: steer::LoadReport,
        now: instant::Instant,
    ) {
        if let Some(pool) = self
            .lock()
            .get(service)
            .and_then(service_balancer::ServiceBalancer::pool)
            && let Some(index) = pool.index(target)
        {
            pool.finish(index, end, word, now);
        }
        self.dispatch(service, now);
    }

    /// Gives a service's free slots to those who wait.
    fn dispatch(&self, service: &name::Service, now: instant::Instant) {
        let turns = self.lock().get(service).map(|line| line.dispatch(now));
        for (sender, turn) in turns.unwrap_or_default() {
            if let Err(turn) = sender.send(turn) {
                self.forget(service, &turn, now);
            }
        }
    }

    /// Takes back the slot of one who went away as the turn came.
    fn forget(
        &self,
        service: &name::Service,
        turn: &service_balancer::Selection,
        now: instant::Instant,
    ) {
        if let steer::Choice::Target(index) = turn.choice
            && let Some(pool) = self
                .lock()
                .get(service)
                .and_then(service_balancer::ServiceBalancer::pool)
        {
            pool.finish(
                index,
                steer::Completion::Cancelled,
                steer::LoadReport::default(),
                now,
            );
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, services::Services> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// How a request begins that needs a target.
enum Begun {
    Selection(service_balancer::Selection),
    Waits(oneshot::Receiver<service_balancer::Selection>),
}

fn wish(
    ask: &Request<'_>,
    line: &mut service_balancer::ServiceBalancer,
) -> service_balancer::Criteria {
    let pool = line.pool();
    let tried = pool.map_or_else(Vec::new, |pool| {
        let known = ask.tried.iter();
        known.filter_map(|target| pool.index(target)).collect()
    });
    service_balancer::Criteria {
        seed: ask.seed,
        attempt: u8::try_from(ask.tried.len() + 1).unwrap_or(u8::MAX),
        tried,
        account: ask.account.cloned(),
        deadline: ask.deadline,
    }
}

fn step(turn: service_balancer::Selection) -> decision::Step {
    decision::Step::Choose {
        inputs: turn.inputs,
        choice: turn.choice,
    }
}

/// Returns the kind of error that a choice without a target comes to.
const fn refused(choice: steer::Choice) -> kind::ErrorKind {
    match choice {
        steer::Choice::NoFreeSlot => kind::ErrorKind::Overloaded,
        steer::Choice::DeadlineUnmet => kind::ErrorKind::DeadlineUnmet,
        steer::Choice::NoTarget | steer::Choice::Target(_) => kind::ErrorKind::NoTarget,
    }
}
