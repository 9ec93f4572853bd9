//! Emulated entry host with its own target pool, queue and retry budget.

use rand::RngExt as _;
use rand::SeedableRng as _;
use skylark_core::catalog;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::steer;

use super::deployment;
use super::policy;
use super::trace;

const QUEUE_CAPACITY: u32 = 64;
/// Requests from other regions get one in this many slots of a region, divided among all hosts.
const OVERFLOW_DIVISOR: u32 = 4;
const MAX_ATTEMPTS: usize = 3;

/// A request with the state that its entry host keeps for it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Arrival in the trace.
    pub arrival: trace::Arrival,
    /// Seed of the random draws in target choice.
    pub seed: steer::Seed,
    /// Indexes of the targets that the request was sent to.
    pub tried: Vec<u32>,
}

/// An entry host that tracks targets from its own requests only.
#[derive(Debug)]
pub struct Host {
    /// Zone of the host.
    pub zone: usize,
    policy: policy::Policy,
    hosts: u32,
    targets: Vec<usize>,
    pool: steer::Pool,
    queue: steer::Queue<usize>,
    retry_budget: steer::RetryBudget,
    rng: rand_chacha::ChaCha8Rng,
}

/// The decision of a host on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// Sends the request to the target with this index.
    Send(u32),
    /// Queues the request and refuses the request that it displaced, if any.
    Wait(Option<usize>),
    /// Refuses the request.
    Refuse,
}

impl Host {
    /// Creates an entry host with an empty queue and no observations of targets.
    pub fn new(
        deployment: deployment::Deployment,
        policy: policy::Policy,
        catalog: &catalog::Catalog,
        index: usize,
        seed: u64,
    ) -> Self {
        let zone = deployment::Deployment::zone(index);
        let names = name::Service::new("stock")
            .ok()
            .zip(name::Zone::new(&deployment::Deployment::zone_name(zone)).ok());
        let (service, zone_name) = names.unwrap_or_else(|| unreachable!("both names are valid"));
        let start = instant::Instant::ORIGIN;
        let is_in_region = |target: &usize| deployment::Deployment::zone(*target) / 2 == zone / 2;
        Self {
            zone,
            policy,
            hosts: u32::try_from(deployment.hosts()).unwrap_or(u32::MAX),
            targets: (0..deployment.targets()).filter(is_in_region).collect(),
            pool: steer::Pool::new(catalog, &service, &zone_name, None, start),
            queue: steer::Queue::new(QUEUE_CAPACITY),
            retry_budget: steer::RetryBudget::new(start),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ index as u64),
        }
    }

    /// Decides on a new request or on one that a target failed or shed, at `now` microseconds.
    pub fn decide(&mut self, id: usize, request: &Request, now: u64) -> Routing {
        if self.policy == policy::Policy::Naive {
            return self.decide_naive(request);
        }
        let at = instant::Instant::from_micros(now);
        if !request.tried.is_empty()
            && (request.tried.len() >= MAX_ATTEMPTS || !self.retry_budget.take(at))
        {
            return Routing::Refuse;
        }
        if !self.queue.has_deadlines() {
            match self.choose(request, now) {
                steer::Choice::Target(target) => return Routing::Send(target),
                steer::Choice::NoFreeSlot => {}
                steer::Choice::DeadlineUnmet | steer::Choice::NoTarget => return Routing::Refuse,
            }
        }
        let throughput = self.pool.throughput();
        let admission = self.queue.enqueue(
            steer::QueueEntry {
                account: name::Account::new(&format!("a{}", request.arrival.account)).ok(),
                deadline: Some(deadline(request)),
                item: id,
            },
            throughput,
            at,
        );
        match admission.ruling {
            steer::AdmissionResult::Wait => Routing::Wait(admission.refused),
            steer::AdmissionResult::Refuse(_) => Routing::Refuse,
        }
    }

    /// Dequeues the next request if a slot is free.
    ///
    /// The second value tells whether its deadline can still be met. `now` is in microseconds.
    pub fn dequeue(&mut self, now: u64) -> Option<(usize, bool)> {
        let at = instant::Instant::from_micros(now);
        let hosts = self.hosts;
        if self.queue.is_empty()
            || !self
                .pool
                .has_free_slot(|_, used| allows_overflow(used, hosts), at)
        {
            return None;
        }
        match self
            .queue
            .dequeue(self.pool.throughput().response_time, at)?
        {
            steer::Dequeued::Ready(id) => Some((id, true)),
            steer::Dequeued::Expired(id) => Some((id, false)),
        }
    }

    /// Chooses a target for a request and counts the attempt, at `now` microseconds.
    pub fn choose(&mut self, request: &Request, now: u64) -> steer::Choice {
        let at = instant::Instant::from_micros(now);
        let remaining = deadline(request).since(at).as_micros();
        let attempt = u8::try_from(request.tried.len() + 1).unwrap_or(u8::MAX);
        let query = steer::TargetQuery::new(request.seed)
            .with_remaining(u32::try_from(remaining).unwrap_or(u32::MAX))
            .with_tried(attempt, &request.tried);
        let hosts = self.hosts;
        let (_, choice) = self
            .pool
            .choose(&query, |_, used| allows_overflow(used, hosts), at);
        if let steer::Choice::Target(target) = choice {
            self.pool.start(target, at);
        }
        choice
    }

    /// Records the end of an exchange with a target, at `now` microseconds.
    pub fn finish(
        &mut self,
        target: u32,
        completion: steer::Completion,
        load: steer::LoadReport,
        now: u64,
    ) {
        if self.policy == policy::Policy::Naive {
            return;
        }
        if matches!(completion, steer::Completion::Answered(_)) {
            self.retry_budget.record_success();
        }
        self.pool
            .finish(target, completion, load, instant::Instant::from_micros(now));
    }

    /// Chooses a random target of the region; retries at once, up to the maximum of attempts.
    fn decide_naive(&mut self, request: &Request) -> Routing {
        if request.tried.len() >= MAX_ATTEMPTS {
            return Routing::Refuse;
        }
        let target = self.targets[self.rng.random_range(0..self.targets.len())];
        Routing::Send(u32::try_from(target).unwrap_or(0))
    }
}

fn deadline(request: &Request) -> instant::Instant {
    instant::Instant::from_micros(request.arrival.at + trace::DEADLINE_MICROS)
}

fn allows_overflow(used: steer::Usage, hosts: u32) -> bool {
    used.in_flight < (used.slots / OVERFLOW_DIVISOR / hosts).max(1)
}
