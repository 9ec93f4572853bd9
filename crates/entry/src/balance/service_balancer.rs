//! One service's targets as this host sees them, and the requests that wait for them.

use std::sync;

use skylark_core::catalog;
use skylark_core::instant;
use skylark_core::name;
use skylark_core::record;
use skylark_core::steer;
use skylark_core::unit;
use tokio::sync::oneshot;

/// Part of another region's slots that overflow from all hosts may use together.
const OVERFLOW_PART: u32 = 4;
/// Entry hosts by which the fleet may outgrow what this host knows of it.
const UNSEEN_HOSTS: u64 = 2;

/// One service on this host.
#[derive(Debug)]
pub struct ServiceBalancer {
    pool: Option<steer::Pool>,
    queue: steer::Queue<Waiter>,
    shift: Option<Shift>,
    hosts: u32,
    catalog: sync::Arc<catalog::Catalog>,
}

/// A request that waits for a target.
#[derive(Debug)]
pub struct Waiter {
    /// What the request asks.
    pub wish: Criteria,
    /// Hears that its turn has come.
    pub sender: oneshot::Sender<Selection>,
}

/// What one attempt of a request asks for.
#[derive(Clone, Debug)]
pub struct Criteria {
    /// Seed of the request's draws.
    pub seed: steer::Seed,
    /// Number of the attempt, from 1.
    pub attempt: u8,
    /// Targets that were tried before, by index.
    pub tried: Vec<u32>,
    /// Client account of the request.
    pub account: Option<name::Account>,
    /// Deadline, none for batch work.
    pub deadline: Option<instant::Instant>,
}

/// A choice made for a request, with what it depended on.
#[derive(Debug)]
pub struct Selection {
    /// What the choice depended on.
    pub inputs: Box<steer::Inputs>,
    /// What it came to; a chosen target counts the request already.
    pub choice: steer::Choice,
    /// The chosen target.
    pub target: Option<record::Target>,
    /// Version of the records that the choice was made with.
    pub version: unit::Version,
}

/// Dispatched that are to be told to those who waited, once no lock is held.
pub type Dispatched = Vec<(oneshot::Sender<Selection>, Selection)>;

/// A traffic shift out of this host's region.
#[derive(Debug)]
struct Shift {
    record: record::Shift,
    ramp: steer::Ramp,
    cap: steer::Allowance,
}

impl ServiceBalancer {
    /// Creates the line of a service whose queue holds `bound` requests.
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

    /// Takes newer records.
    pub fn install(
        &mut self,
        catalog: &sync::Arc<catalog::Catalog>,
        service: &record::Service,
        zone: &name::Zone,
        hosts: usize,
        now: instant::Instant,
    ) {
        self.catalog = sync::Arc::clone(catalog);
        let earlier = self.pool.as_ref();
        self.pool = Some(steer::Pool::new(catalog, &service.name, zone, earlier, now));
        self.queue.set_bound(service.queue);
        self.hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let home = catalog.zones.get(zone);
        let record = catalog
            .shifts
            .iter()
            .find(|shift| shift.service == service.name && Some(&shift.from) == home);
        let share =
            |shift: &record::Shift| shift.cap.get() / (u64::from(self.hosts) + UNSEEN_HOSTS);
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

    /// Returns what this host knows of the service's targets.
    pub fn pool(&mut self) -> Option<&mut steer::Pool> {
        self.pool.as_mut()
    }

    /// Returns whether a request has to wait behind others of its kind.
    #[must_use]
    pub fn is_busy(&self, wish: &Criteria) -> bool {
        if wish.deadline.is_some() {
            self.queue.has_deadlines()
        } else {
            !self.queue.is_empty()
        }
    }

    /// Chooses a target for a request; a chosen target counts it at once.
    pub fn choose(&mut self, wish: &Criteria, now: instant::Instant) -> Option<Selection> {
        let pool = self.pool.as_mut()?;
        let shift = self.shift.as_mut().map(|shift| shift.shifted(pool, now));
        let remaining = wish.deadline.map_or(u32::MAX, |deadline| {
            u32::try_from(deadline.since(now).as_micros()).unwrap_or(u32::MAX)
        });
        let ask = steer::TargetQuery::new(wish.seed)
            .with_remaining(remaining)
            .with_tried(wish.attempt, &wish.tried)
            .with_shift(shift);
        let hosts = self.hosts;
        let allows = |_: &name::Region, used| has_share(used, hosts);
        let (inputs, choice) = pool.choose(&ask, allows, now);
        if let steer::Choice::Target(index) = choice {
            pool.start(index, now);
            let is_shifted = inputs.tiers.iter().any(|tier| {
                tier.nearness == steer::Nearness::Shift
                    && tier.drawn.iter().any(|known| known.index == index)
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

    /// Lets a request wait, or refuses it or another one.
    pub fn enter(&mut self, waiter: Waiter, now: instant::Instant) -> steer::Enqueued<Waiter> {
        let speed = self.speed();
        let entrant = steer::QueueEntry {
            account: waiter.wish.account.clone(),
            deadline: waiter.wish.deadline,
            item: waiter,
        };
        self.queue.enqueue(entrant, speed, now)
    }

    /// Gives free slots to those who wait.
    pub fn dispatch(&mut self, now: instant::Instant) -> Dispatched {
        let mut turns = Dispatched::new();
        self.queue.retain(|waiter| !waiter.sender.is_closed());
        while self.has_room(now) {
            let answer = self.speed().response_time;
            let Some(steer::Dequeued::Ready(waiter) | steer::Dequeued::Expired(waiter)) =
                self.queue.dequeue(answer, now)
            else {
                break;
            };
            let Some(turn) = self.choose(&waiter.wish, now) else {
                break;
            };
            if turn.choice == steer::Choice::NoFreeSlot && waiter.wish.tried.is_empty() {
                self.enter(waiter, now);
                break;
            }
            turns.push((waiter.sender, turn));
        }
        turns
    }

    fn target(&self, index: u32) -> Option<record::Target> {
        let known = self.pool.as_ref()?.targets();
        let known = known.get(usize::try_from(index).ok()?)?;
        self.catalog.targets.get(&known.name).cloned()
    }

    fn has_room(&mut self, now: instant::Instant) -> bool {
        let hosts = self.hosts;
        let allows = |_: &name::Region, used| has_share(used, hosts);
        !self.queue.is_empty()
            && self
                .pool
                .as_mut()
                .is_some_and(|pool| pool.has_free_slot(allows, now))
    }

    fn speed(&self) -> steer::Throughput {
        let none = steer::Throughput {
            concurrency: 1,
            service_time: 0,
            response_time: 0,
        };
        self.pool.as_ref().map_or(none, steer::Pool::throughput)
    }
}

impl Shift {
    /// Returns the shift as a request meets it now.
    ///
    /// The first step is taken blind: only moved requests bring measurements.
    fn shifted(&mut self, pool: &steer::Pool, now: instant::Instant) -> steer::RegionShift<'_> {
        let blind = steer::Measurement { level: 0, at: now };
        let load = if self.ramp.part() == 0 {
            Some(blind)
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

/// Returns whether one more request to another region stays within this host's share.
fn has_share(used: steer::Usage, hosts: u32) -> bool {
    used.in_flight < (used.slots / OVERFLOW_PART / hosts).max(1)
}
