//! Bounded queue of requests that wait for a slot, fair between client accounts.

use std::collections;
use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::mem;

use crate::instant;
use crate::name;

use super::admission;

/// Number of turns by which one client account may be served ahead of another.
const MAX_LEAD_TURNS: u64 = 2;
/// While both classes wait, one in this many turns goes to a batch request.
const BATCH_INTERVAL_TURNS: u32 = 8;

/// Maximum number of client accounts whose finish tags are kept.
const MAX_TRACKED_FLOWS: usize = 256;

/// Queued request.
#[derive(Clone, Debug)]
struct Waiter<T> {
    flow: u64,
    deadline: Option<instant::Instant>,
    arrival: u64,
    item: T,
}

/// Rate at which slots become free, to estimate waiting times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throughput {
    /// Number of requests that the host expects to run concurrently.
    pub concurrency: u32,
    /// Time for which one request occupies a slot, in microseconds.
    pub service_time: u32,
    /// Time from sending a request to its response, in microseconds.
    pub response_time: u32,
}

/// Request to be queued.
#[derive(Clone, Debug)]
pub struct QueueEntry<T> {
    /// Client account of the request; `None` on open routes.
    pub account: Option<name::Account>,
    /// Deadline; `None` for batch requests.
    pub deadline: Option<instant::Instant>,
    /// Value that is returned when the request leaves the queue.
    pub item: T,
}

/// Result of an attempt to queue a request.
#[derive(Debug)]
pub struct Enqueued<T> {
    /// Inputs of the admission decision.
    pub inputs: admission::Admission,
    /// Result of the admission decision.
    pub ruling: admission::AdmissionResult,
    /// Value of the request that is not queued: the refused one, or one that it displaced.
    pub refused: Option<T>,
}

/// Request that leaves the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Dequeued<T> {
    /// It is the next request to be sent.
    Ready(T),
    /// It can no longer meet its deadline.
    Expired(T),
}

/// Bounded queue that is fair between client accounts and serves the earliest deadline first.
///
/// Uses start-time fair queueing (Goyal, Vin and Cheng, 1996): each account is a
/// flow. Among the flows that are at most `MAX_LEAD_TURNS` ahead, the earliest
/// deadline is served first. Batch requests, which have no deadline, are a class
/// of their own with the same bound, and get at least one turn in eight. If a
/// class is full, an account with fewer queued requests displaces the last
/// request of the account that has the most.
#[derive(Debug)]
pub struct Queue<T> {
    bound: usize,
    waiters: Vec<Waiter<T>>,
    finish_tags: collections::HashMap<u64, u64>,
    virtual_time: u64,
    arrivals: u64,
    turns_since_batch: u32,
}

impl<T> Queue<T> {
    /// Creates a queue for `bound` requests with a deadline and `bound` batch requests.
    #[must_use]
    pub fn new(bound: u32) -> Self {
        Self {
            bound: bound as usize,
            waiters: Vec::new(),
            finish_tags: collections::HashMap::new(),
            virtual_time: 0,
            arrivals: 0,
            turns_since_batch: 0,
        }
    }

    /// Sets the bound; requests that are already queued stay queued.
    pub fn set_bound(&mut self, bound: u32) {
        self.bound = bound as usize;
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns whether a request with a deadline is queued.
    #[must_use]
    pub fn has_deadlines(&self) -> bool {
        self.waiters.iter().any(|waiter| waiter.deadline.is_some())
    }

    /// Queues a request, or refuses either it or the one that it displaces.
    pub fn enqueue(
        &mut self,
        entry: QueueEntry<T>,
        throughput: Throughput,
        now: instant::Instant,
    ) -> Enqueued<T> {
        let flow = flow(entry.account.as_ref());
        let flows = self.flows(&entry);
        let displaced = self.displaced(&entry, flow, &flows);
        let inputs = admission::Admission {
            ahead: to_u32(self.ahead(&entry, flow, &flows)),
            waiting: to_u32(flows.len()),
            bound: to_u32(self.bound),
            concurrency: throughput.concurrency,
            service_time: throughput.service_time,
            response_time: throughput.response_time,
            remaining: entry
                .deadline
                .map(|deadline| remaining_micros(deadline, now)),
            displaces: displaced.is_some(),
        };
        let ruling = inputs.decide();
        if ruling != admission::AdmissionResult::Wait {
            return Enqueued {
                inputs,
                ruling,
                refused: Some(entry.item),
            };
        }
        self.arrivals += 1;
        let waiter = Waiter {
            flow,
            deadline: entry.deadline,
            arrival: self.arrivals,
            item: entry.item,
        };
        Enqueued {
            inputs,
            ruling,
            refused: self.add_waiter(waiter, displaced),
        }
    }

    /// Removes the next request to be sent, or one that can no longer meet its deadline.
    ///
    /// `response_time` is the least time to a response, in microseconds.
    pub fn dequeue(&mut self, response_time: u32, now: instant::Instant) -> Option<Dequeued<T>> {
        let is_expired = |waiter: &Waiter<T>| {
            waiter
                .deadline
                .is_some_and(|deadline| remaining_micros(deadline, now) < response_time)
        };
        if let Some(index) = self.waiters.iter().position(is_expired) {
            return Some(Dequeued::Expired(self.waiters.swap_remove(index).item));
        }
        let index = self.next_index()?;
        let waiter = self.waiters.swap_remove(index);
        self.charge(waiter.flow);
        Some(Dequeued::Ready(waiter.item))
    }

    /// Removes the requests that `keeps` rejects, such as those of disconnected callers.
    pub fn retain(&mut self, mut keeps: impl FnMut(&T) -> bool) {
        self.waiters.retain(|waiter| keeps(&waiter.item));
    }

    /// Adds a request; returns the value of the request at `displaced`, which it replaces.
    fn add_waiter(&mut self, waiter: Waiter<T>, displaced: Option<usize>) -> Option<T> {
        if let Some(index) = displaced {
            return Some(mem::replace(&mut self.waiters[index], waiter).item);
        }
        self.waiters.push(waiter);
        None
    }

    /// Returns the index of the next request to be sent.
    fn next_index(&mut self) -> Option<usize> {
        let batch = self.best_index(|waiter| waiter.deadline.is_none());
        let urgent = self.best_index(|waiter| waiter.deadline.is_some());
        let is_batch_turn = self.turns_since_batch + 1 >= BATCH_INTERVAL_TURNS;
        match (batch, urgent) {
            (Some(batch), Some(_)) if is_batch_turn => {
                self.turns_since_batch = 0;
                Some(batch)
            }
            (Some(_), Some(urgent)) => {
                self.turns_since_batch += 1;
                Some(urgent)
            }
            (batch, urgent) => urgent.or(batch),
        }
    }

    /// Returns the index of the next request among those that `accepts` allows.
    fn best_index(&self, accepts: impl Fn(&Waiter<T>) -> bool) -> Option<usize> {
        let waiters = || {
            self.waiters
                .iter()
                .enumerate()
                .filter(|(_, waiter)| accepts(waiter))
        };
        let lowest_tag = waiters()
            .map(|(_, waiter)| self.start_tag(waiter.flow))
            .min()?;
        waiters()
            .filter(|(_, waiter)| self.start_tag(waiter.flow) <= lowest_tag + MAX_LEAD_TURNS)
            .min_by_key(|(_, waiter)| (waiter.deadline, waiter.arrival))
            .map(|(index, _)| index)
    }

    /// Returns the start tag of a flow's next request: the virtual time when it is due.
    fn start_tag(&self, flow: u64) -> u64 {
        self.finish_tags
            .get(&flow)
            .copied()
            .unwrap_or(0)
            .max(self.virtual_time)
    }

    /// Charges a flow for one turn and advances the virtual time.
    ///
    /// A finish tag is kept only if it is later than the virtual time. If there
    /// are too many of them, the virtual time advances by one to discard some.
    fn charge(&mut self, flow: u64) {
        if self.waiters.is_empty() {
            self.finish_tags.clear();
            self.virtual_time = 0;
            return;
        }
        let start_tag = self.start_tag(flow);
        self.finish_tags.insert(flow, start_tag + 1);
        let lowest_tag = self
            .waiters
            .iter()
            .map(|waiter| self.start_tag(waiter.flow))
            .min();
        self.virtual_time = self.virtual_time.max(lowest_tag.unwrap_or(0));
        if self.finish_tags.len() > MAX_TRACKED_FLOWS {
            self.virtual_time += 1;
            let virtual_time = self.virtual_time;
            self.finish_tags
                .retain(|_flow, finish_tag| *finish_tag > virtual_time);
        }
    }

    /// Returns the queued requests of the same class: with a deadline, or batch.
    fn same_class(&self, entry: &QueueEntry<T>) -> impl Iterator<Item = (usize, &Waiter<T>)> {
        let is_batch = entry.deadline.is_none();
        self.waiters
            .iter()
            .enumerate()
            .filter(move |(_, waiter)| waiter.deadline.is_none() == is_batch)
    }

    /// Returns the flows of the queued requests of the same class, sorted.
    fn flows(&self, entry: &QueueEntry<T>) -> Vec<u64> {
        let mut flows: Vec<u64> = self
            .same_class(entry)
            .map(|(_, waiter)| waiter.flow)
            .collect();
        flows.sort_unstable();
        flows
    }

    /// Returns the number of requests that would be served before this one.
    ///
    /// Fair queueing lets each other flow go first as often as this flow has
    /// requests queued. Batch requests take their turns in between.
    fn ahead(&self, entry: &QueueEntry<T>, flow: u64, flows: &[u64]) -> usize {
        let same_flow = self
            .same_class(entry)
            .filter(|(_, waiter)| waiter.flow == flow && waiter.deadline <= entry.deadline)
            .count();
        let turns = same_flow + 1 + usize::try_from(MAX_LEAD_TURNS).unwrap_or(0);
        let ahead = same_flow
            + flows
                .chunk_by(|a, b| a == b)
                .filter(|group| group[0] != flow)
                .map(|group| turns.min(group.len()))
                .sum::<usize>();
        let batch = self.waiters.len() - flows.len();
        let batch_turns = (ahead + 1).div_ceil(BATCH_INTERVAL_TURNS as usize - 1);
        ahead + batch.min(batch_turns)
    }

    /// Returns the index of the request that this one displaces if its class is full.
    fn displaced(&self, entry: &QueueEntry<T>, flow: u64, flows: &[u64]) -> Option<usize> {
        if flows.len() < self.bound {
            return None;
        }
        let groups = || flows.chunk_by(|a, b| a == b);
        let same_flow = groups()
            .find(|group| group[0] == flow)
            .map_or(0, <[u64]>::len);
        let largest = groups().max_by_key(|group| group.len())?;
        if largest.len() <= same_flow + 1 {
            return None;
        }
        self.same_class(entry)
            .filter(|(_, waiter)| waiter.flow == largest[0])
            .max_by_key(|(_, waiter)| (waiter.deadline, waiter.arrival))
            .map(|(index, _)| index)
    }
}

/// Returns the flow number of an account, a hash of its name.
fn flow(account: Option<&name::Account>) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    account.hash(&mut hasher);
    hasher.finish()
}

fn remaining_micros(deadline: instant::Instant, now: instant::Instant) -> u32 {
    u32::try_from(deadline.since(now).as_micros()).unwrap_or(u32::MAX)
}

fn to_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
