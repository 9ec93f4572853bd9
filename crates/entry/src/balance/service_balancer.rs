//! Load balancer of one service: its targets as this host measures them, and its wait queue.

use std::sync;

use skylark_core::catalog;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::record;
use skylark_core::steer;
use skylark_core::unit;
use tokio::sync::oneshot;

/// Divisor of another region's slots: overflow from all hosts together may use a quarter of them.
const OVERFLOW_DIVISOR: u32 = 4;
/// Entry hosts that may serve without being known yet, so that all shares stay within the cap.
const MAX_UNKNOWN_HOSTS: u64 = 2;

/// Load balancer of one service on this host.
#[derive(Debug)]
pub struct ServiceBalancer {
    pool: Option<steer::Pool>,
    queue: steer::Queue<Waiter>,
    shift: Option<Shift>,
    hosts: u32,
    catalog: sync::Arc<catalog::Catalog>,
}

/// A queued request that waits for a free slot.
#[derive(Debug)]
pub struct Waiter {
    /// Criteria of the choice of its target.
    pub criteria: Criteria,
    /// Receives the selection once a slot is free.
    pub sender: oneshot::Sender<Selection>,
}

/// What the choice of a target for one attempt of a request depends on.
#[derive(Clone, Debug)]
pub struct Criteria {
    /// Seed of the request's random choices.
    pub seed: steer::Seed,
    /// Number of the attempt, counted from 1.
    pub attempt: u8,
    /// Indexes of the targets that were tried before.
    pub tried: Vec<u32>,
    /// Client account of the request; none on a route with open access.
    pub account: Option<name::Account>,
    /// Deadline of the request; none for batch work.
    pub deadline: Option<instant::Instant>,
}

/// A choice of a target, with the inputs that it depended on.
#[derive(Debug)]
pub struct Selection {
    /// Inputs of the choice, for the decision record.
    pub inputs: Box<steer::Inputs>,
    /// Result of the choice; the slot of a chosen target is already counted as occupied.
    pub choice: steer::Choice,
    /// Record of the chosen target.
    pub target: Option<record::Target>,
    /// Version of the records that the choice was made with.
    pub version: unit::Version,
}

/// Selections for queued requests, to be sent once no lock is held.
pub type Dispatched = Vec<(oneshot::Sender<Selection>, Selection)>;

/// A traffic shift out of this host's region, with its ramp and its rate cap.
#[derive(Debug)]
struct Shift {
    record: record::Shift,
    ramp: steer::Ramp,
    cap: steer::Allowance,
}

impl ServiceBalancer {
    /// Creates the load balancer of a service whose queue holds at most `bound` requests.
    #[must_use]
    pub fn new(bound: u32) -> Self {
        Self {
            pool: None,
            queue: steer::Queue::new(bound),
            shift: None,
            hosts: 1,
            catalog: sync::Arc::default(),
        }
    }

    /// Installs newer records and the number of entry hosts that share the capacity.
    pub fn install(
        &mut self,
        catalog: &sync::Arc<catalog::Catalog>,
        service: &record::Service,
        zone: &name::Zone,
        hosts: usize,
        now: instant::Instant,
    ) {
        self.catalog = sync::Arc::clone(catalog);
        let previous = self.pool.as_ref();
        self.pool = Some(steer::Pool::new(
            catalog,
            &service.name,
            zone,
            previous,
            now,
        ));
        self.queue.set_bound(service.queue);
        self.hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let region = catalog.zones.get(zone);
        let record = catalog
            .shifts
            .iter()
            .find(|shift| shift.service == service.name && Some(&shift.from) == region);
        let share =
            |shift: &record::Shift| shift.cap.get() / (u64::from(self.hosts) + MAX_UNKNOWN_HOSTS);
        self.shift = match (record, self.shift.take()) {
            (Some(record), Some(old)) if old.record == *record => Some(Shift {
                cap: old.cap.with_rate(share(record), now),
                ..old
            }),
            (Some(record), _) => Some(Shift {
                record: record.clone(),
                ramp: steer::Ramp::new(record.part.basis_points(), now),
                cap: steer::Allowance::new(share(record), 1, now),
            }),
            (None, _) => None,
        };
    }

    /// Returns the pool of the service's targets; none before the first records.
    pub fn pool(&mut self) -> Option<&mut steer::Pool> {
        self.pool.as_mut()
    }

    /// Returns whether a request has to queue behind others of its class (deadline or batch).
    #[must_use]
    pub fn must_queue(&self, criteria: &Criteria) -> bool {
        if criteria.deadline.is_some() {
            self.queue.has_deadlines()
        } else {
            !self.queue.is_empty()
        }
    }

    /// Chooses a target for a request and counts its slot as occupied.
    ///
    /// Returns none before the first records.
    pub fn choose(&mut self, criteria: &Criteria, now: instant::Instant) -> Option<Selection> {
        let pool = self.pool.as_mut()?;
        let shift = self.shift.as_mut().map(|shift| shift.advance(pool, now));
        let remaining = criteria.deadline.map_or(u32::MAX, |deadline| {
            u32::try_from(deadline.since(now).as_micros()).unwrap_or(u32::MAX)
        });
        let query = steer::TargetQuery::new(criteria.seed)
            .with_remaining(remaining)
            .with_tried(criteria.attempt, &criteria.tried)
            .with_shift(shift);
        let hosts = self.hosts;
        let allows = |_: &name::Region, used| is_within_share(used, hosts);
        let (inputs, choice) = pool.choose(&query, allows, now);
        if let steer::Choice::Target(index) = choice {
            pool.start(index, now);
            let is_shifted = inputs.tiers.iter().any(|tier| {
                tier.nearness == steer::Nearness::Shift
                    && tier.drawn.iter().any(|candidate| candidate.index == index)
            });
            if let Some(shift) = self.shift.as_mut().filter(|_| is_shifted) {
                shift.cap.take(now);
            }
        }
        let target = match choice {
            steer::Choice::Target(index) => self.target(index),
            _ => None,
        };
        Some(Selection {
            inputs: Box::new(inputs),
            choice,
            target,
            version: self.catalog.version,
        })
    }

    /// Queues a request, or refuses it or a queued one when the queue is full.
    pub fn enqueue(&mut self, waiter: Waiter, now: instant::Instant) -> steer::Enqueued<Waiter> {
        let throughput = self.throughput();
        let entry = steer::QueueEntry {
            account: waiter.criteria.account.clone(),
            deadline: waiter.criteria.deadline,
            item: waiter,
        };
        self.queue.enqueue(entry, throughput, now)
    }

    /// Chooses targets for queued requests while slots are free.
    pub fn dispatch(&mut self, now: instant::Instant) -> Dispatched {
        let mut dispatched = Dispatched::new();
        self.queue.retain(|waiter| !waiter.sender.is_closed());
        while self.has_dispatchable(now) {
            let response_time = self.throughput().response_time;
            let Some(steer::Dequeued::Ready(waiter) | steer::Dequeued::Expired(waiter)) =
                self.queue.dequeue(response_time, now)
            else {
                break;
            };
            let Some(selection) = self.choose(&waiter.criteria, now) else {
                break;
            };
            if selection.choice == steer::Choice::NoFreeSlot && waiter.criteria.tried.is_empty() {
                self.enqueue(waiter, now);
                break;
            }
            dispatched.push((waiter.sender, selection));
        }
        dispatched
    }

    fn target(&self, index: u32) -> Option<record::Target> {
        let statuses = self.pool.as_ref()?.targets();
        let status = statuses.get(usize::try_from(index).ok()?)?;
        self.catalog.targets.get(&status.name).cloned()
    }

    fn has_dispatchable(&mut self, now: instant::Instant) -> bool {
        let hosts = self.hosts;
        let allows = |_: &name::Region, used| is_within_share(used, hosts);
        !self.queue.is_empty()
            && self
                .pool
                .as_mut()
                .is_some_and(|pool| pool.has_free_slot(allows, now))
    }

    fn throughput(&self) -> steer::Throughput {
        let none = steer::Throughput {
            concurrency: 1,
            service_time: 0,
            response_time: 0,
        };
        self.pool.as_ref().map_or(none, steer::Pool::throughput)
    }
}

impl Shift {
    /// Advances the ramp and returns the state of the shift for one request.
    ///
    /// The first step assumes a load of zero, as only shifted requests bring measurements.
    fn advance(&mut self, pool: &steer::Pool, now: instant::Instant) -> steer::RegionShift<'_> {
        let assumed = steer::Measurement { level: 0, at: now };
        let load = if self.ramp.part() == 0 {
            Some(assumed)
        } else {
            pool.region_load(&self.record.to, now)
        };
        self.ramp.update(load, now);
        steer::RegionShift {
            to: &self.record.to,
            state: self.ramp.state(self.cap.has_token(now)),
        }
    }
}

/// Returns whether one more request to another region stays within this host's share of its slots.
fn is_within_share(used: steer::Usage, hosts: u32) -> bool {
    used.in_flight < (used.slots / OVERFLOW_DIVISOR / hosts).max(1)
}
