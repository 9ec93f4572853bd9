//! Admitting requests within their client accounts' rates.

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

/// Shortest time between two tries of a request that waits.
const SHORTEST_WAIT: time::Duration = time::Duration::from_millis(2);
/// Time after which a host takes requests even without slots of the reserve.
const LONGEST_START: time::Duration = time::Duration::from_secs(3);
/// Pause between two looks at whether the slots are in use.
const START_STEP: time::Duration = time::Duration::from_millis(20);
/// Longest time that a request waits for tokens.
const LONGEST_WAIT: time::Duration = time::Duration::from_secs(1);

/// This host's part of the budgets.
#[derive(Debug)]
pub struct RateLimiter {
    /// Wakes the task that asks the owner.
    pub(super) short: tokio::sync::Notify,
    banked: tokio::sync::watch::Sender<u64>,
    held: sync::Mutex<Held>,
    begun: sync::OnceLock<instant::Instant>,
}

#[derive(Debug)]
pub(super) struct Held {
    /// Tokens and slots of every budget.
    pub(super) holder: budget::Limiter,
    lines: collections::BTreeMap<name::Account, usize>,
    ids: collections::BTreeSet<u64>,
    shortage: record::Shortage,
}

impl RateLimiter {
    /// Creates the part of a process that has neither slots nor tokens.
    #[must_use]
    pub fn new(life: &name::Incarnation, now: instant::Instant) -> Self {
        let timing = budget::Timing::default();
        Self {
            short: tokio::sync::Notify::new(),
            banked: tokio::sync::watch::Sender::new(0),
            held: sync::Mutex::new(Held {
                holder: budget::Limiter::new(life.clone(), timing, now),
                lines: collections::BTreeMap::new(),
                ids: collections::BTreeSet::new(),
                shortage: record::Shortage::Refuse,
            }),
            begun: sync::OnceLock::new(),
        }
    }

    /// Puts the rates and bursts of client accounts in force.
    pub fn configure(&self, catalog: &catalog::Catalog, now: instant::Instant) {
        self.begun.get_or_init(|| now);
        self.with(|held| held.configure(catalog, now));
    }

    /// Returns whether slots of the reserve are in use, or were waited for long enough.
    #[must_use]
    pub fn is_ready(&self, now: instant::Instant) -> bool {
        let Some(begun) = self.begun.get() else {
            return false;
        };
        now.since(*begun) > LONGEST_START
            || self.with(|held| held.holder.share() > budget::Share::NONE)
    }

    /// Waits for a short time until the process is ready, and returns whether it is.
    pub async fn wait_until_ready(&self, clock: &clock::Clock) -> bool {
        let end = clock.now() + LONGEST_WAIT;
        while !self.is_ready(clock.now()) {
            if clock.now() >= end {
                return false;
            }
            tokio::time::sleep(START_STEP).await;
        }
        true
    }

    /// Takes one token of the account, waiting for the owner where the policy says so.
    ///
    /// # Errors
    ///
    /// Refuses, and charges nothing, when no token is there before half of the time left.
    pub async fn admit(
        &self,
        account: &name::Account,
        deadline: instant::Instant,
        clock: &clock::Clock,
    ) -> exchange::Result<()> {
        let over = exchange::Refusal::new(kind::ErrorKind::OverRate);
        let mut banked = self.banked.subscribe();
        let Some((line, mut verdict)) = self.with(|held| held.admit(account, clock.now())) else {
            return Err(over);
        };
        let charges = [charge(line)];
        let begun = clock.now();
        let end = begun + (deadline.since(begun) / 2).min(LONGEST_WAIT);
        loop {
            let retry_after = match verdict {
                budget::Verdict::Admit => return Ok(()),
                budget::Verdict::Refuse { retry_after } => {
                    return Err(over.with_retry_after(retry_after));
                }
                budget::Verdict::Wait { retry_after } => retry_after,
            };
            self.short.notify_one();
            let left = end.since(clock.now());
            if left == time::Duration::ZERO {
                return Err(over.with_retry_after(retry_after));
            }
            let pause = left.min(retry_after.max(SHORTEST_WAIT));
            let _elapsed = tokio::time::timeout(pause, banked.changed()).await;
            verdict = self.with(|held| held.holder.retry(&charges, clock.now()));
        }
    }

    /// Banks an owner's answer, and lets the requests that wait try again.
    pub(super) fn bank(&self, answer: &budget::Reply, now: instant::Instant) {
        self.with(|held| held.holder.apply_reply(answer, now));
        self.banked.send_modify(|count| *count += 1);
    }

    pub(super) fn with<R>(&self, act: impl FnOnce(&mut Held) -> R) -> R {
        act(&mut self
            .held
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner))
    }
}

impl Held {
    fn configure(&mut self, catalog: &catalog::Catalog, now: instant::Instant) {
        self.shortage = catalog.policy.shortage;
        self.lines.clear();
        let before = std::mem::take(&mut self.ids);
        for account in catalog.accounts.values() {
            let id = budget::Key::Account(account.name.clone()).id();
            let whole = budget::Limit::of_requests(account.rate, account.burst);
            let line = self.holder.set_limit(id, whole, now);
            self.lines.insert(account.name.clone(), line);
            self.ids.insert(id);
        }
        for id in before.difference(&self.ids) {
            self.holder.set_limit(*id, budget::Limit::ZERO, now);
        }
    }

    fn admit(
        &mut self,
        account: &name::Account,
        now: instant::Instant,
    ) -> Option<(usize, budget::Verdict)> {
        let line = *self.lines.get(account)?;
        let verdict = self.holder.admit(&[charge(line)], self.shortage, now);
        Some((line, verdict))
    }
}

const fn charge(line: usize) -> budget::Charge {
    budget::Charge {
        index: line,
        amount: budget::Amount::TOKEN,
    }
}
