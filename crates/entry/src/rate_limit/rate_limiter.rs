//! Rate limiter of client accounts: admits requests, or delays them until tokens arrive.

use std::collections;
use std::sync;
use std::time;

use skylark_core::budget;
use skylark_core::catalog;
use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::record;
use skylark_runtime::clock;

use crate::exchange;

/// Shortest delay between two attempts of a waiting request to take a token.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(2);
/// Time after which a host serves requests even without slots of the reserve.
const MAX_START_DELAY: time::Duration = time::Duration::from_secs(3);
/// Delay between two checks whether slots of the reserve are in use.
const START_POLL_PERIOD: time::Duration = time::Duration::from_millis(20);
/// Longest time that a request waits for tokens, or for the process to become ready.
const MAX_WAIT: time::Duration = time::Duration::from_secs(1);

/// Rate limiter of client accounts, shared by the tasks of the process.
#[derive(Debug)]
pub struct RateLimiter {
    /// Wakes the task that requests tokens from the owner.
    pub(super) demand: tokio::sync::Notify,
    replies: tokio::sync::watch::Sender<u64>,
    inner: sync::Mutex<Inner>,
    configured_at: sync::OnceLock<instant::Instant>,
}

#[derive(Debug)]
pub(super) struct Inner {
    /// Token buckets of all budgets.
    pub(super) limiter: budget::Limiter,
    indexes: collections::BTreeMap<name::Account, usize>,
    budgets: collections::BTreeSet<u64>,
    shortage: record::Shortage,
}

impl RateLimiter {
    /// Creates a rate limiter without slots and without tokens.
    #[must_use]
    pub fn new(incarnation: &name::Incarnation, now: instant::Instant) -> Self {
        let timing = budget::Timing::default();
        Self {
            demand: tokio::sync::Notify::new(),
            replies: tokio::sync::watch::Sender::new(0),
            inner: sync::Mutex::new(Inner {
                limiter: budget::Limiter::new(incarnation.clone(), timing, now),
                indexes: collections::BTreeMap::new(),
                budgets: collections::BTreeSet::new(),
                shortage: record::Shortage::Refuse,
            }),
            configured_at: sync::OnceLock::new(),
        }
    }

    /// Sets the rates and bursts of client accounts from new records.
    pub fn configure(&self, catalog: &catalog::Catalog, now: instant::Instant) {
        self.configured_at.get_or_init(|| now);
        self.with(|inner| inner.configure(catalog, now));
    }

    /// Returns whether slots of the reserve are in use, or the longest start delay has passed.
    #[must_use]
    pub fn is_ready(&self, now: instant::Instant) -> bool {
        let Some(configured_at) = self.configured_at.get() else {
            return false;
        };
        now.since(*configured_at) > MAX_START_DELAY
            || self.with(|inner| inner.limiter.share() > budget::Share::NONE)
    }

    /// Waits until the process is ready, for at most one second, and returns whether it is.
    pub async fn wait_until_ready(&self, clock: &clock::Clock) -> bool {
        let end = clock.now() + MAX_WAIT;
        while !self.is_ready(clock.now()) {
            if clock.now() >= end {
                return false;
            }
            tokio::time::sleep(START_POLL_PERIOD).await;
        }
        true
    }

    /// Takes one token of the account; waits for lent tokens if the shortage policy says so.
    ///
    /// # Errors
    ///
    /// Refuses, and charges nothing, if no token arrives within half of the remaining time, or
    /// within one second if that is shorter.
    pub async fn admit(
        &self,
        account: &name::Account,
        deadline: instant::Instant,
        clock: &clock::Clock,
    ) -> exchange::Result<()> {
        let over_rate = exchange::Refusal::new(kind::ErrorKind::OverRate);
        let mut replies = self.replies.subscribe();
        let Some((index, mut verdict)) = self.with(|inner| inner.admit(account, clock.now()))
        else {
            return Err(over_rate);
        };
        let charges = [charge(index)];
        let started = clock.now();
        let end = started + (deadline.since(started) / 2).min(MAX_WAIT);
        loop {
            let retry_after = match verdict {
                budget::Verdict::Admit => return Ok(()),
                budget::Verdict::Refuse { retry_after } => {
                    return Err(over_rate.with_retry_after(retry_after));
                }
                budget::Verdict::Wait { retry_after } => retry_after,
            };
            self.demand.notify_one();
            let remaining = end.since(clock.now());
            if remaining == time::Duration::ZERO {
                return Err(over_rate.with_retry_after(retry_after));
            }
            let delay = remaining.min(retry_after.max(MIN_RETRY_DELAY));
            let _elapsed = tokio::time::timeout(delay, replies.changed()).await;
            verdict = self.with(|inner| inner.limiter.retry(&charges, clock.now()));
        }
    }

    /// Applies a reply of the owner, and wakes the waiting requests.
    pub(super) fn apply_reply(&self, reply: &budget::Reply, now: instant::Instant) {
        self.with(|inner| inner.limiter.apply_reply(reply, now));
        self.replies.send_modify(|count| *count += 1);
    }

    pub(super) fn with<R>(&self, update: impl FnOnce(&mut Inner) -> R) -> R {
        update(
            &mut self
                .inner
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner),
        )
    }
}

impl Inner {
    fn configure(&mut self, catalog: &catalog::Catalog, now: instant::Instant) {
        self.shortage = catalog.policy.shortage;
        self.indexes.clear();
        let previous = std::mem::take(&mut self.budgets);
        for account in catalog.accounts.values() {
            let id = budget::Key::Account(account.name.clone()).id();
            let limit = budget::Limit::of_requests(account.rate, account.burst);
            let index = self.limiter.set_limit(id, limit, now);
            self.indexes.insert(account.name.clone(), index);
            self.budgets.insert(id);
        }
        for id in previous.difference(&self.budgets) {
            self.limiter.set_limit(*id, budget::Limit::ZERO, now);
        }
    }

    fn admit(
        &mut self,
        account: &name::Account,
        now: instant::Instant,
    ) -> Option<(usize, budget::Verdict)> {
        let index = *self.indexes.get(account)?;
        let verdict = self.limiter.admit(&[charge(index)], self.shortage, now);
        Some((index, verdict))
    }
}

const fn charge(index: usize) -> budget::Charge {
    budget::Charge {
        index,
        amount: budget::Amount::TOKEN,
    }
}
