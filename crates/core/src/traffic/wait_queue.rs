//! The bounded line of requests that wait for room at one service.

use crate::instant;

use super::request;

/// One request that waits.
#[derive(Debug)]
pub struct Waiter<T> {
    /// The request.
    pub request: request::Request,
    /// Until when it may wait.
    pub deadline: instant::Instant,
    /// What is handed back when it leaves the line.
    pub item: T,
}

/// The bounded line of requests that wait for room at one service.
///
/// It answers short peaks above what the targets can take: who is most urgent
/// goes first, then who must be answered soonest. Requests leave it after a
/// small part of their objective, so that a refusal comes early.
#[derive(Debug)]
pub struct WaitQueue<T> {
    bound: usize,
    waiters: Vec<Waiter<T>>,
}

impl<T> WaitQueue<T> {
    /// Creates an empty line for `bound` requests.
    #[must_use]
    pub const fn new(bound: usize) -> Self {
        Self {
            bound,
            waiters: Vec::new(),
        }
    }

    /// Returns whether one more request of a rank may wait.
    #[must_use]
    pub fn has_room(&self, rank: u8) -> bool {
        let ahead = self.waiters.iter().filter(|w| w.request.priority() <= rank);
        ahead.count() < self.bound
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

    /// Adds a request in its place; returns the one that the bound pushes out.
    pub fn push(&mut self, waiter: Waiter<T>) -> Option<Waiter<T>> {
        let place = (waiter.request.priority(), waiter.request.deadline);
        let position = self
            .waiters
            .partition_point(|other| (other.request.priority(), other.request.deadline) <= place);
        self.waiters.insert(position, waiter);
        if self.waiters.len() > self.bound {
            return self.waiters.pop();
        }
        None
    }

    /// Takes every request out, in order of the line.
    pub fn drain(&mut self) -> Vec<Waiter<T>> {
        std::mem::take(&mut self.waiters)
    }
}
