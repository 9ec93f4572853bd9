//! Bounded queue of requests that wait for a slot.

use std::collections;
use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::mem;

use crate::instant;
use crate::name;

use super::admission;

/// Requests by which one client account may be served ahead of another.
const SLACK: u64 = 2;
/// Requests that leave the queue for each batch request that does.
const BATCH_EVERY: u32 = 8;

/// Client accounts whose turns are remembered at most.
const REMEMBERED: usize = 256;

/// One request that waits.
#[derive(Clone, Debug)]
struct Waiter<T> {
    flow: u64,
    deadline: Option<instant::Instant>,
    arrival: u64,
    item: T,
}

/// What the queue reckons with when a request asks to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throughput {
    /// Requests that the host can expect to run at once.
    pub concurrency: u32,
    /// Time that one request takes a slot, in microseconds.
    pub service_time: u32,
    /// Time from sending a request to its answer, in microseconds.
    pub response_time: u32,
}

/// A request that asks to wait.
#[derive(Clone, Debug)]
pub struct QueueEntry<T> {
    /// Client account of the request, none on routes open to all.
    pub account: Option<name::Account>,
    /// Deadline, none for batch work.
    pub deadline: Option<instant::Instant>,
    /// What is handed back when the request leaves the queue.
    pub item: T,
}

/// What became of a request that asked to wait.
#[derive(Debug)]
pub struct Enqueued<T> {
    /// What admission depended on.
    pub inputs: admission::Admission,
    /// What it came to.
    pub ruling: admission::AdmissionResult,
    /// The request that does not wait: the refused one, or one that it displaced.
    pub refused: Option<T>,
}

/// A request that leaves the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Dequeued<T> {
    /// Its turn has come.
    Ready(T),
    /// Its deadline can no longer be met.
    Expired(T),
}

/// A bounded queue: fair between client accounts, earliest deadline first within.
///
/// Accounts are served by start-time fair queueing (Goyal, Vin and Cheng,
/// 1996), with a slack within which the earliest deadline goes first. Batch
/// requests, without a deadline, have a line of their own with the same bound
/// and take one turn in eight at least. When a line is full, an account with
/// fewer waiting requests displaces the last request of the account with most.
#[derive(Debug)]
pub struct Queue<T> {
    bound: usize,
    waiters: Vec<Waiter<T>>,
    served: collections::HashMap<u64, u64>,
    round: u64,
    arrivals: u64,
    turns: u32,
}

impl<T> Queue<T> {
    /// Creates a queue for `bound` requests with a deadline and as many without.
    #[must_use]
    pub fn new(bound: u32) -> Self {
        Self {
            bound: bound as usize,
            waiters: Vec::new(),
            served: collections::HashMap::new(),
            round: 0,
            arrivals: 0,
            turns: 0,
        }
    }

    /// Sets the bound; requests that wait already keep their place.
    pub fn set_bound(&mut self, bound: u32) {
        self.bound = bound as usize;
    }

    /// Returns the requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns whether a request with a deadline waits.
    #[must_use]
    pub fn has_deadlines(&self) -> bool {
        self.waiters.iter().any(|waiter| waiter.deadline.is_some())
    }

    /// Lets a request wait, or refuses it or another one.
    pub fn enqueue(
        &mut self,
        entrant: QueueEntry<T>,
        speed: Throughput,
        now: instant::Instant,
    ) -> Enqueued<T> {
        let flow = flow(entrant.account.as_ref());
        let flows = self.flows(&entrant);
        let loser = self.loser(&entrant, flow, &flows);
        let inputs = admission::Admission {
            ahead: count(self.ahead(&entrant, flow, &flows)),
            waiting: count(flows.len()),
            bound: count(self.bound),
            concurrency: speed.concurrency,
            service_time: speed.service_time,
            response_time: speed.response_time,
            remaining: entrant.deadline.map(|deadline| remaining(deadline, now)),
            displaces: loser.is_some(),
        };
        let ruling = inputs.decide();
        if ruling != admission::AdmissionResult::Wait {
            return Enqueued {
                inputs,
                ruling,
                refused: Some(entrant.item),
            };
        }
        self.arrivals += 1;
        let waiter = Waiter {
            flow,
            deadline: entrant.deadline,
            arrival: self.arrivals,
            item: entrant.item,
        };
        Enqueued {
            inputs,
            ruling,
            refused: self.put(waiter, loser),
        }
    }

    /// Returns the request whose turn it is, or one that became late.
    ///
    /// `answer` is the least time to an answer, in microseconds.
    pub fn dequeue(&mut self, answer: u32, now: instant::Instant) -> Option<Dequeued<T>> {
        let is_late = |waiter: &Waiter<T>| {
            waiter
                .deadline
                .is_some_and(|deadline| remaining(deadline, now) < answer)
        };
        if let Some(place) = self.waiters.iter().position(is_late) {
            return Some(Dequeued::Expired(self.waiters.swap_remove(place).item));
        }
        let place = self.next()?;
        let waiter = self.waiters.swap_remove(place);
        self.charge(waiter.flow);
        Some(Dequeued::Ready(waiter.item))
    }

    /// Takes the requests out that no longer wait, such as those of callers that left.
    pub fn retain(&mut self, mut keeps: impl FnMut(&T) -> bool) {
        self.waiters.retain(|waiter| keeps(&waiter.item));
    }

    /// Puts a request in; returns the one whose place it takes.
    fn put(&mut self, waiter: Waiter<T>, loser: Option<usize>) -> Option<T> {
        if let Some(place) = loser {
            return Some(mem::replace(&mut self.waiters[place], waiter).item);
        }
        self.waiters.push(waiter);
        None
    }

    /// Returns the place of the request whose turn it is.
    fn next(&mut self) -> Option<usize> {
        let batch = self.place(|waiter| waiter.deadline.is_none());
        let urgent = self.place(|waiter| waiter.deadline.is_some());
        let is_batch_turn = self.turns + 1 >= BATCH_EVERY;
        match (batch, urgent) {
            (Some(batch), Some(_)) if is_batch_turn => {
                self.turns = 0;
                Some(batch)
            }
            (Some(_), Some(urgent)) => {
                self.turns += 1;
                Some(urgent)
            }
            (batch, urgent) => urgent.or(batch),
        }
    }

    /// Returns the next of the requests that `takes` lets through.
    fn place(&self, takes: impl Fn(&Waiter<T>) -> bool) -> Option<usize> {
        let waiters = || self.waiters.iter().enumerate().filter(|(_, w)| takes(w));
        let least = waiters().map(|(_, w)| self.tag(w.flow)).min()?;
        waiters()
            .filter(|(_, w)| self.tag(w.flow) <= least + SLACK)
            .min_by_key(|(_, w)| (w.deadline, w.arrival))
            .map(|(place, _)| place)
    }

    /// Returns the round in which an account's next turn is due.
    fn tag(&self, flow: u64) -> u64 {
        self.served.get(&flow).copied().unwrap_or(0).max(self.round)
    }

    /// Counts a turn of an account.
    ///
    /// Accounts whose turns lie in earlier rounds need no memory; when too many
    /// are remembered, the round ends early.
    fn charge(&mut self, flow: u64) {
        if self.waiters.is_empty() {
            self.served.clear();
            self.round = 0;
            return;
        }
        let tag = self.tag(flow);
        self.served.insert(flow, tag + 1);
        let least = self
            .waiters
            .iter()
            .map(|waiter| self.tag(waiter.flow))
            .min();
        self.round = self.round.max(least.unwrap_or(0));
        if self.served.len() > REMEMBERED {
            self.round += 1;
            let round = self.round;
            self.served.retain(|_flow, tag| *tag > round);
        }
    }

    /// Returns the requests in the same line: with a deadline, or batch.
    fn line(&self, entrant: &QueueEntry<T>) -> impl Iterator<Item = (usize, &Waiter<T>)> {
        let is_batch = entrant.deadline.is_none();
        self.waiters
            .iter()
            .enumerate()
            .filter(move |(_, waiter)| waiter.deadline.is_none() == is_batch)
    }

    /// Returns the accounts of the requests in the same line, sorted.
    fn flows(&self, entrant: &QueueEntry<T>) -> Vec<u64> {
        let mut flows: Vec<u64> = self.line(entrant).map(|(_, waiter)| waiter.flow).collect();
        flows.sort_unstable();
        flows
    }

    /// Returns the requests that would be served before this one.
    ///
    /// Fair turns let each other account go ahead as often as this one waits,
    /// and the batch line takes its turns in between.
    fn ahead(&self, entrant: &QueueEntry<T>, flow: u64, flows: &[u64]) -> usize {
        let own = self
            .line(entrant)
            .filter(|(_, waiter)| waiter.flow == flow && waiter.deadline <= entrant.deadline)
            .count();
        let turns = own + 1 + usize::try_from(SLACK).unwrap_or(0);
        let ahead = own
            + flows
                .chunk_by(|a, b| a == b)
                .filter(|group| group[0] != flow)
                .map(|group| turns.min(group.len()))
                .sum::<usize>();
        let batch = self.waiters.len() - flows.len();
        let batch_turns = (ahead + 1).div_ceil(BATCH_EVERY as usize - 1);
        ahead + batch.min(batch_turns)
    }

    /// Returns the place of the request that this one displaces from a full line.
    fn loser(&self, entrant: &QueueEntry<T>, flow: u64, flows: &[u64]) -> Option<usize> {
        if flows.len() < self.bound {
            return None;
        }
        let groups = || flows.chunk_by(|a, b| a == b);
        let own = groups()
            .find(|group| group[0] == flow)
            .map_or(0, <[u64]>::len);
        let most = groups().max_by_key(|group| group.len())?;
        if most.len() <= own + 1 {
            return None;
        }
        self.line(entrant)
            .filter(|(_, waiter)| waiter.flow == most[0])
            .max_by_key(|(_, waiter)| (waiter.deadline, waiter.arrival))
            .map(|(place, _)| place)
    }
}

/// Returns the number under which an account's requests are counted.
fn flow(account: Option<&name::Account>) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    account.hash(&mut hasher);
    hasher.finish()
}

fn remaining(deadline: instant::Instant, now: instant::Instant) -> u32 {
    u32::try_from(deadline.since(now).as_micros()).unwrap_or(u32::MAX)
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
