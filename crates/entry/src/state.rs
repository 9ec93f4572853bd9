//! What the tasks of the entry process share.

use std::sync;
use std::sync::atomic;

use skylark_core::name;
use skylark_runtime::clock;
use skylark_runtime::error;
use skylark_runtime::identity;
use skylark_runtime::metrics;
use skylark_wire::platform;

use super::balance;
use super::breaker;
use super::connections;
use super::idempotency;
use super::journal;
use super::rate_limit;
use super::settings;
use super::view;

/// Everything that the tasks of the entry process share.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// Name of this life of the process.
    pub incarnation: name::Incarnation,
    /// Monotonic clock.
    pub clock: clock::Clock,
    /// Sender of metrics.
    pub metrics: metrics::Metrics,
    /// This host's part of the budgets.
    pub rate_limiter: rate_limit::RateLimiter,
    /// Idempotency keys whose home is this process.
    pub ledger: idempotency::SharedLedger,
    /// Connections to the entry processes of other hosts.
    pub peers: idempotency::Peers,
    /// CopyCache of other ledgers that were read lately.
    pub copies: idempotency::CopyCache,
    /// What is known of requests that crash targets.
    pub breaker: breaker::SharedBreaker,
    /// What is known of targets.
    pub balancer: balance::Balancer,
    /// Connections to targets.
    pub connections: connections::Pool,
    /// Decisions that wait to be stored.
    pub journal: journal::Journal,
    /// Client of the platform.
    pub platform: platform::Client,
    view: sync::RwLock<sync::Arc<view::View>>,
    is_leaving: atomic::AtomicBool,
    sequence: atomic::AtomicU64,
}

impl State {
    /// Creates the state of a process that has started.
    ///
    /// # Errors
    ///
    /// Fails when no incarnation can be drawn or metrics cannot be sent.
    pub fn new(settings: settings::Settings) -> error::Result<Self> {
        let clock = clock::Clock::new();
        let incarnation = identity::incarnation(&settings.host)?;
        let rate_limiter = rate_limit::RateLimiter::new(&incarnation, clock.now());
        Ok(Self {
            ledger: idempotency::SharedLedger::new(clock.wall()),
            peers: idempotency::Peers::default(),
            copies: idempotency::CopyCache::default(),
            breaker: breaker::SharedBreaker::new(&incarnation),
            incarnation,
            clock,
            metrics: metrics::sender("skylark.entry", settings.statsd)?,
            rate_limiter,
            balancer: balance::Balancer::new(&settings.zone),
            connections: connections::Pool::default(),
            journal: journal::Journal::default(),
            platform: platform::Client::new(&settings.platform),
            view: sync::RwLock::new(sync::Arc::new(view::View::new())),
            is_leaving: atomic::AtomicBool::new(false),
            sequence: atomic::AtomicU64::new(0),
            settings,
        })
    }

    /// Returns what is in force.
    #[must_use]
    pub fn view(&self) -> sync::Arc<view::View> {
        sync::Arc::clone(
            &self
                .view
                .read()
                .unwrap_or_else(sync::PoisonError::into_inner),
        )
    }

    /// Changes what is in force.
    pub fn set_view(&self, view: view::View) {
        let mut slot = self
            .view
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *slot = sync::Arc::new(view);
    }

    /// Returns whether the process takes requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_funded = self.rate_limiter.is_ready(self.clock.now());
        self.view().is_ready() && is_funded && !self.is_leaving()
    }

    /// Returns whether a planned stop has begun.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(atomic::Ordering::Acquire)
    }

    /// Begins the planned stop.
    pub fn leave(&self) {
        self.is_leaving.store(true, atomic::Ordering::Release);
    }

    /// Draws the next request id, unique over the fleet.
    #[must_use]
    pub fn next_request(&self) -> String {
        let number = self.sequence.fetch_add(1, atomic::Ordering::Relaxed);
        format!("{}.{number:x}", self.incarnation)
    }
}
