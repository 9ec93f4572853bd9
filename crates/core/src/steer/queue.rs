//! Bounded queue of requests that wait for a slot.

use std::collections;
use std::mem;

use crate::instant;
use crate::name;

use super::admission;

/// Requests by which one client account may be served ahead of another.
const SLACK: u64 = 2;
/// Requests that leave the queue for each batch request that does.
const BATCH_EVERY: u32 = 8;

/// One request that waits.
#[derive(Clone, Debug)]
struct Waiter<T> {
    account: Option<name::Account>,
    deadline: Option<instant::Instant>,
    arrival: u64,
    item: T,
}

/// What the queue reckons with when a request asks to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Speed {
    /// Requests that the host can expect to run at once.
    pub width: u32,
    /// Time that one request takes a slot, in microseconds.
    pub service: u32,
    /// Time from sending a request to its answer, in microseconds.
    pub answer: u32,
}

/// A request that asks to wait.
#[derive(Clone, Debug)]
pub struct Entrant<T> {
    /// Client account of the request, none on routes open to all.
    pub account: Option<name::Account>,
    /// Deadline, none for batch work.
    pub deadline: Option<instant::Instant>,
    /// What is handed back when the request leaves the queue.
    pub item: T,
}

/// What became of a request that asked to wait.
#[derive(Debug)]
pub struct Entered<T> {
    /// What admission depended on.
    pub inputs: admission::Admission,
    /// What it came to.
    pub ruling: admission::Ruling,
    /// The request that does not wait: the refused one, or one that it displaced.
    pub refused: Option<T>,
}

/// A request that leaves the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Left<T> {
    /// Its turn has come.
    Turn(T),
    /// Its deadline can no longer be met.
    Late(T),
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
    served: collections::BTreeMap<Option<name::Account>, u64>,
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
            served: collections::BTreeMap::new(),
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
    pub fn has_urgent(&self) -> bool {
        self.waiters.iter().any(|waiter| waiter.deadline.is_some())
    }

    /// Lets a request wait, or refuses it or another one.
    pub fn enter(
        &mut self,
        entrant: Entrant<T>,
        speed: Speed,
        now: instant::Instant,
    ) -> Entered<T> {
        let loser = self.loser(&entrant);
        let inputs = admission::Admission {
            ahead: count(self.ahead(&entrant)),
            waiting: count(self.line(&entrant).count()),
            bound: count(self.bound),
            width: speed.width,
            service: speed.service,
            answer: speed.answer,
            remaining: entrant.deadline.map(|deadline| remaining(deadline, now)),
            displaces: loser.is_some(),
        };
        let ruling = inputs.decide();
        if ruling != admission::Ruling::Wait {
            return Entered {
                inputs,
                ruling,
                refused: Some(entrant.item),
            };
        }
        self.arrivals += 1;
        let waiter = Waiter {
            account: entrant.account,
            deadline: entrant.deadline,
            arrival: self.arrivals,
            item: entrant.item,
        };
        Entered {
            inputs,
            ruling,
            refused: self.put(waiter, loser),
        }
    }

    /// Returns the request whose turn it is, or one that became late.
    ///
    /// `answer` is the least time to an answer, in microseconds.
    pub fn leave(&mut self, answer: u32, now: instant::Instant) -> Option<Left<T>> {
        let is_late = |waiter: &Waiter<T>| {
            waiter
                .deadline
                .is_some_and(|deadline| remaining(deadline, now) < answer)
        };
        if let Some(place) = self.waiters.iter().position(is_late) {
            return Some(Left::Late(self.waiters.swap_remove(place).item));
        }
        let place = self.next()?;
        let waiter = self.waiters.swap_remove(place);
        self.charge(waiter.account);
        Some(Left::Turn(waiter.item))
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
        let least = waiters().map(|(_, w)| self.tag(&w.account)).min()?;
        waiters()
            .filter(|(_, w)| self.tag(&w.account) <= least + SLACK)
            .min_by_key(|(_, w)| (w.deadline, w.arrival))
            .map(|(place, _)| place)
    }

    /// Returns the turns that an account has had, reckoned from the least served.
    #[expect(clippy::ref_option, reason = "the map is keyed by the option")]
    fn tag(&self, account: &Option<name::Account>) -> u64 {
        self.served.get(account).copied().unwrap_or(0)
    }

    /// Counts a turn; accounts that wait for nothing more are forgotten.
    fn charge(&mut self, account: Option<name::Account>) {
        *self.served.entry(account).or_default() += 1;
        let waiting = |account: &Option<name::Account>| {
            self.waiters.iter().any(|waiter| waiter.account == *account)
        };
        let floor = self
            .waiters
            .iter()
            .map(|waiter| self.served.get(&waiter.account).copied().unwrap_or(0))
            .min();
        let Some(floor) = floor else {
            self.served.clear();
            return;
        };
        let keeps = |account: &Option<name::Account>, tag: &u64| *tag > floor || waiting(account);
        self.served.retain(|account, tag| keeps(account, tag));
        for tag in self.served.values_mut() {
            *tag -= floor.min(*tag);
        }
    }

    /// Returns the requests in the same line: with a deadline, or batch.
    fn line(&self, entrant: &Entrant<T>) -> impl Iterator<Item = (usize, &Waiter<T>)> {
        let is_batch = entrant.deadline.is_none();
        self.waiters
            .iter()
            .enumerate()
            .filter(move |(_, waiter)| waiter.deadline.is_none() == is_batch)
    }

    /// Returns the requests that would be served before this one.
    ///
    /// Fair turns let each other account go ahead as often as this one waits,
    /// and the batch line takes its turns in between.
    fn ahead(&self, entrant: &Entrant<T>) -> usize {
        let own = self
            .line(entrant)
            .filter(|(_, waiter)| waiter.account == entrant.account)
            .filter(|(_, waiter)| waiter.deadline <= entrant.deadline)
            .count();
        let turns = own + 1 + usize::try_from(SLACK).unwrap_or(0);
        let others = self.counts(entrant).into_iter();
        let ahead = others
            .filter(|(account, _)| **account != entrant.account)
            .map(|(_, waiting)| turns.min(waiting))
            .sum::<usize>()
            + own;
        let batch = self.waiters.len() - self.line(entrant).count();
        let batch_turns = (ahead + 1).div_ceil(BATCH_EVERY as usize - 1);
        ahead + batch.min(batch_turns)
    }

    /// Counts the requests of each account in the same line.
    fn counts(&self, entrant: &Entrant<T>) -> collections::BTreeMap<&Option<name::Account>, usize> {
        let mut counts = collections::BTreeMap::new();
        for (_, waiter) in self.line(entrant) {
            *counts.entry(&waiter.account).or_default() += 1;
        }
        counts
    }

    /// Returns the place of the request that this one displaces from a full line.
    fn loser(&self, entrant: &Entrant<T>) -> Option<usize> {
        if self.line(entrant).count() < self.bound {
            return None;
        }
        let counts = self.counts(entrant);
        let own = counts.get(&entrant.account).copied().unwrap_or(0);
        let (account, most) = counts.into_iter().max_by_key(|(_, count)| *count)?;
        if most <= own + 1 {
            return None;
        }
        self.line(entrant)
            .filter(|(_, waiter)| waiter.account == *account)
            .max_by_key(|(_, waiter)| (waiter.deadline, waiter.arrival))
            .map(|(place, _)| place)
    }
}

fn remaining(deadline: instant::Instant, now: instant::Instant) -> u32 {
    u32::try_from(deadline.since(now).as_micros()).unwrap_or(u32::MAX)
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
