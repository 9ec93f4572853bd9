//! A bounded priority queue of requests that wait for a free target of one service.

use crate::instant;

use super::request;

/// A queued request.
#[derive(Debug)]
pub struct Waiter<T> {
    /// The request.
    pub request: request::Request,
    /// When its time in the queue ends.
    pub deadline: instant::Instant,
    /// Value to hand back when the request leaves the queue.
    pub item: T,
}

/// A bounded priority queue of requests that wait for a free target of one service.
///
/// Absorbs short peaks above the capacity of the targets. Requests are ordered by
/// priority, then by the earliest deadline. They leave the queue after a small part of
/// their objective, so that a refusal comes early.
#[derive(Debug)]
pub struct WaitQueue<T> {
    bound: usize,
    waiters: Vec<Waiter<T>>,
}

impl<T> WaitQueue<T> {
    /// Creates an empty queue for at most `bound` requests.
    #[must_use]
    pub const fn new(bound: usize) -> Self {
        Self {
            bound,
            waiters: Vec::new(),
        }
    }

    /// Returns whether one more request of this priority may wait.
    #[must_use]
    pub fn has_room(&self, priority: u8) -> bool {
        let ahead = self
            .waiters
            .iter()
            .filter(|w| w.request.priority() <= priority);
        ahead.count() < self.bound
    }

    /// Returns the number of requests in the queue.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Adds a request in order; returns the last one if the queue was full.
    pub fn push(&mut self, waiter: Waiter<T>) -> Option<Waiter<T>> {
        let order = (waiter.request.priority(), waiter.request.deadline);
        let position = self
            .waiters
            .partition_point(|other| (other.request.priority(), other.request.deadline) <= order);
        self.waiters.insert(position, waiter);
        if self.waiters.len() > self.bound {
            return self.waiters.pop();
        }
        None
    }

    /// Drops the requests whose item does not meet a condition.
    pub fn retain(&mut self, is_kept: impl Fn(&T) -> bool) {
        self.waiters.retain(|waiter| is_kept(&waiter.item));
    }

    /// Removes and returns all requests in order.
    pub fn drain(&mut self) -> Vec<Waiter<T>> {
        std::mem::take(&mut self.waiters)
    }
}
