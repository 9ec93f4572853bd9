//! Load balancer of the process: gives each request a slot of a target, after a wait if need be.

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

/// Interval at which a queued request checks for slots that other hosts have released.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(10);

/// Load balancer over the targets of all services, shared by the tasks of the process.
#[derive(Clone, Debug)]
pub struct Balancer {
    inner: sync::Arc<Inner>,
    zone: name::Zone,
}

/// Load balancers of all services, behind one lock.
#[derive(Debug)]
pub struct Inner(sync::Mutex<services::Services>);

/// Request for a target, for one attempt of a caller's request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Current records.
    pub catalog: &'a sync::Arc<catalog::Catalog>,
    /// Number of entry hosts that are known to serve.
    pub hosts: usize,
    /// Service that the request is for.
    pub service: &'a record::Service,
    /// Client account of the request; none on a route with open access.
    pub account: Option<&'a name::Account>,
    /// Seed of the request's random choices.
    pub seed: steer::Seed,
    /// Deadline of the request; none for batch work.
    pub deadline: Option<instant::Instant>,
    /// Targets of the earlier attempts.
    pub tried: &'a [name::Target],
}

impl Balancer {
    /// Creates the load balancer of a process in an availability zone, without any records.
    #[must_use]
    pub fn new(zone: &name::Zone) -> Self {
        Self {
            inner: sync::Arc::new(Inner(sync::Mutex::new(services::Services::new()))),
            zone: zone.clone(),
        }
    }

    /// Records a success, which adds to the retry budget.
    pub fn record_success(&self) {
        self.inner.lock().retry.record_success();
    }

    /// Takes one retry from the retry budget; returns whether it may be made.
    #[must_use]
    pub fn take_retry(&self, now: instant::Instant) -> bool {
        self.inner.lock().retry.take(now)
    }

    /// Returns a slot of a target, after waiting for a free one if need be.
    ///
    /// Appends each step of the decision to `steps`.
    ///
    /// # Errors
    ///
    /// Refuses when no target can respond in time; nothing has been sent then.
    pub async fn acquire(
        &self,
        request: Request<'_>,
        clock: &clock::Clock,
        steps: &mut Vec<decision::Step>,
    ) -> exchange::Result<slot_guard::SlotGuard> {
        let started = clock.now();
        let mut receiver = match self.admit(&request, started, steps)? {
            Admitted::Selected(selection) => return self.occupy(&request, selection, clock, steps),
            Admitted::Queued(receiver) => receiver,
        };
        let selection = self.wait(&request, clock, &mut receiver).await;
        let time = u64::try_from(clock.now().since(started).as_micros()).unwrap_or(u64::MAX);
        let Some(selection) = selection else {
            let is_late = request
                .deadline
                .is_some_and(|deadline| clock.now() >= deadline);
            let kind = if is_late {
                kind::ErrorKind::DeadlineUnmet
            } else {
                kind::ErrorKind::Overloaded
            };
            steps.push(decision::Step::Dropped { kind, time });
            return Err(exchange::Refusal::new(kind));
        };
        if selection.version != request.catalog.version {
            steps.clear();
        }
        steps.push(decision::Step::Waited { time });
        self.occupy(&request, selection, clock, steps)
    }

    /// Chooses a target at once, or queues the request.
    fn admit(
        &self,
        request: &Request<'_>,
        now: instant::Instant,
        steps: &mut Vec<decision::Step>,
    ) -> exchange::Result<Admitted> {
        let mut services = self.inner.lock();
        services.install(request.catalog, &self.zone, request.hosts, now);
        let none = exchange::Refusal::new(kind::ErrorKind::NoTarget);
        let balancer = services.get(&request.service.name).ok_or(none)?;
        let criteria = criteria(request, balancer);
        if !balancer.must_queue(&criteria) {
            let selection = balancer.choose(&criteria, now);
            let selection = selection.ok_or(exchange::Refusal::new(kind::ErrorKind::NoTarget))?;
            if selection.choice != steer::Choice::NoFreeSlot {
                return Ok(Admitted::Selected(selection));
            }
            steps.push(step(selection));
        }
        let (sender, receiver) = oneshot::channel();
        let enqueued = balancer.enqueue(service_balancer::Waiter { criteria, sender }, now);
        steps.push(decision::Step::Admit {
            inputs: enqueued.inputs,
            ruling: enqueued.ruling,
        });
        match enqueued.ruling {
            steer::AdmissionResult::Wait => Ok(Admitted::Queued(receiver)),
            steer::AdmissionResult::Refuse(kind) => Err(exchange::Refusal::new(kind)),
        }
    }

    /// Waits for a selection; none when the request is displaced or its deadline passes.
    async fn wait(
        &self,
        request: &Request<'_>,
        clock: &clock::Clock,
        receiver: &mut oneshot::Receiver<service_balancer::Selection>,
    ) -> Option<service_balancer::Selection> {
        loop {
            let remaining = request
                .deadline
                .map_or(POLL_PERIOD, |deadline| deadline.since(clock.now()));
            if let Ok(selection) =
                tokio::time::timeout(POLL_PERIOD.min(remaining), &mut *receiver).await
            {
                return selection.ok();
            }
            let now = clock.now();
            if request.deadline.is_some_and(|deadline| now >= deadline) {
                receiver.close();
                return receiver.try_recv().ok();
            }
            self.inner.dispatch(&request.service.name, now);
        }
    }

    /// Returns the guard of the selected slot, or the refusal for a choice without a target.
    fn occupy(
        &self,
        request: &Request<'_>,
        selection: service_balancer::Selection,
        clock: &clock::Clock,
        steps: &mut Vec<decision::Step>,
    ) -> exchange::Result<slot_guard::SlotGuard> {
        let (choice, target) = (selection.choice, selection.target.clone());
        let version = selection.version;
        steps.push(step(selection));
        let target = target.ok_or(exchange::Refusal::new(error_kind(choice)))?;
        let shared = sync::Arc::clone(&self.inner);
        let service = request.service.name.clone();
        Ok(slot_guard::SlotGuard::new(
            target, version, shared, service, *clock,
        ))
    }
}

impl Inner {
    /// Records the end of an exchange, and gives free slots to queued requests.
    pub fn finish(
        &self,
        service: &name::Service,
        target: &name::Target,
        completion: steer::Completion,
        report: steer::LoadReport,
        now: instant::Instant,
    ) {
        if let Some(pool) = self
            .lock()
            .get(service)
            .and_then(service_balancer::ServiceBalancer::pool)
            && let Some(index) = pool.index(target)
        {
            pool.finish(index, completion, report, now);
        }
        self.dispatch(service, now);
    }

    /// Gives a service's free slots to queued requests.
    fn dispatch(&self, service: &name::Service, now: instant::Instant) {
        let dispatched = self
            .lock()
            .get(service)
            .map(|balancer| balancer.dispatch(now));
        for (sender, selection) in dispatched.unwrap_or_default() {
            if let Err(selection) = sender.send(selection) {
                self.release(service, &selection, now);
            }
        }
    }

    /// Releases the slot of a request that was cancelled just as it was selected.
    fn release(
        &self,
        service: &name::Service,
        selection: &service_balancer::Selection,
        now: instant::Instant,
    ) {
        if let steer::Choice::Target(index) = selection.choice
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

/// Result of admission: a target at once, or a place in the queue.
enum Admitted {
    Selected(service_balancer::Selection),
    Queued(oneshot::Receiver<service_balancer::Selection>),
}

fn criteria(
    request: &Request<'_>,
    balancer: &mut service_balancer::ServiceBalancer,
) -> service_balancer::Criteria {
    let pool = balancer.pool();
    let tried = pool.map_or_else(Vec::new, |pool| {
        let targets = request.tried.iter();
        targets.filter_map(|target| pool.index(target)).collect()
    });
    service_balancer::Criteria {
        seed: request.seed,
        attempt: u8::try_from(request.tried.len() + 1).unwrap_or(u8::MAX),
        tried,
        account: request.account.cloned(),
        deadline: request.deadline,
    }
}

fn step(selection: service_balancer::Selection) -> decision::Step {
    decision::Step::Choose {
        inputs: selection.inputs,
        choice: selection.choice,
    }
}

/// Returns the kind of error for a choice without a target.
const fn error_kind(choice: steer::Choice) -> kind::ErrorKind {
    match choice {
        steer::Choice::NoFreeSlot => kind::ErrorKind::Overloaded,
        steer::Choice::DeadlineUnmet => kind::ErrorKind::DeadlineUnmet,
        steer::Choice::NoTarget | steer::Choice::Target(_) => kind::ErrorKind::NoTarget,
    }
}
