//! An emulated entry host.

use rand::RngExt as _;
use rand::SeedableRng as _;
use skylark_core::catalog;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::steer;

use super::deployment;
use super::policy;
use super::trace;

const QUEUE: u32 = 64;
const OVERFLOW_PART: u32 = 4;
const ATTEMPTS: usize = 3;

/// A request as its host sees it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as it arrived.
    pub arrival: trace::Arrival,
    /// Seed of its draws.
    pub seed: steer::Seed,
    /// Targets that it was sent to, by number.
    pub tried: Vec<u32>,
}

/// An entry host with its own view of the targets.
#[derive(Debug)]
pub struct Host {
    /// Zone of the host.
    pub zone: usize,
    policy: policy::Policy,
    hosts: u32,
    targets: Vec<usize>,
    pool: steer::Pool,
    queue: steer::Queue<usize>,
    retry: steer::RetryBudget,
    rng: rand_chacha::ChaCha8Rng,
}

/// What a host does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Sends it to the target with this number.
    Send(u32),
    /// Lets it wait, and refuses another one that it displaced.
    Wait(Option<usize>),
    /// Refuses it.
    Refuse,
}

impl Host {
    /// Creates an entry host that has seen nothing.
    pub fn new(
        deployment: deployment::Deployment,
        policy: policy::Policy,
        catalog: &catalog::Catalog,
        number: usize,
        seed: u64,
    ) -> Self {
        let zone = deployment::Deployment::zone(number);
        let names = name::Service::new("stock")
            .ok()
            .zip(name::Zone::new(&deployment::Deployment::zone_name(zone)).ok());
        let (service, place) = names.unwrap_or_else(|| unreachable!("both names are valid"));
        let start = instant::Instant::ORIGIN;
        let near = |target: &usize| deployment::Deployment::zone(*target) / 2 == zone / 2;
        Self {
            zone,
            policy,
            hosts: u32::try_from(deployment.hosts()).unwrap_or(u32::MAX),
            targets: (0..deployment.targets()).filter(near).collect(),
            pool: steer::Pool::new(catalog, &service, &place, None, start),
            queue: steer::Queue::new(QUEUE),
            retry: steer::RetryBudget::new(start),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ number as u64),
        }
    }

    /// Decides on a request that arrived or came back from a target unstarted.
    pub fn decide(&mut self, id: usize, request: &Request, now: u64) -> Step {
        if self.policy == policy::Policy::Naive {
            return self.decide_naively(request);
        }
        let at = instant::Instant::from_micros(now);
        if !request.tried.is_empty() && (request.tried.len() >= ATTEMPTS || !self.retry.take(at)) {
            return Step::Refuse;
        }
        if !self.queue.has_deadlines() {
            match self.choose(request, now) {
                steer::Choice::Target(target) => return Step::Send(target),
                steer::Choice::NoFreeSlot => {}
                steer::Choice::DeadlineUnmet | steer::Choice::NoTarget => return Step::Refuse,
            }
        }
        let speed = self.pool.throughput();
        let entered = self.queue.enqueue(
            steer::QueueEntry {
                account: name::Account::new(&format!("a{}", request.arrival.account)).ok(),
                deadline: Some(deadline(request)),
                item: id,
            },
            speed,
            at,
        );
        match entered.ruling {
            steer::AdmissionResult::Wait => Step::Wait(entered.refused),
            steer::AdmissionResult::Refuse(_) => Step::Refuse,
        }
    }

    /// Returns the next request that waits, and whether its deadline can still be met.
    pub fn next(&mut self, now: u64) -> Option<(usize, bool)> {
        let at = instant::Instant::from_micros(now);
        let hosts = self.hosts;
        if self.queue.is_empty()
            || !self
                .pool
                .has_free_slot(|_, used| has_share(used, hosts), at)
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

    /// Chooses a target for a request whose turn it is.
    pub fn choose(&mut self, request: &Request, now: u64) -> steer::Choice {
        let at = instant::Instant::from_micros(now);
        let remaining = deadline(request).since(at).as_micros();
        let attempt = u8::try_from(request.tried.len() + 1).unwrap_or(u8::MAX);
        let ask = steer::TargetQuery::new(request.seed)
            .with_remaining(u32::try_from(remaining).unwrap_or(u32::MAX))
            .with_tried(attempt, &request.tried);
        let hosts = self.hosts;
        let (_, choice) = self.pool.choose(&ask, |_, used| has_share(used, hosts), at);
        if let steer::Choice::Target(target) = choice {
            self.pool.start(target, at);
        }
        choice
    }

    /// Takes the end of an exchange.
    pub fn end(&mut self, target: u32, end: steer::Completion, word: steer::LoadReport, now: u64) {
        if self.policy == policy::Policy::Naive {
            return;
        }
        if matches!(end, steer::Completion::Answered(_)) {
            self.retry.record_success();
        }
        self.pool
            .finish(target, end, word, instant::Instant::from_micros(now));
    }

    /// Sends to a random target of the region; tries again twice at once.
    fn decide_naively(&mut self, request: &Request) -> Step {
        if request.tried.len() >= ATTEMPTS {
            return Step::Refuse;
        }
        let target = self.targets[self.rng.random_range(0..self.targets.len())];
        Step::Send(u32::try_from(target).unwrap_or(0))
    }
}

fn deadline(request: &Request) -> instant::Instant {
    instant::Instant::from_micros(request.arrival.at + trace::DEADLINE)
}

fn has_share(used: steer::Usage, hosts: u32) -> bool {
    used.in_flight < (used.slots / OVERFLOW_PART / hosts).max(1)
}
