//! State that the tasks of the entry process share.

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

/// State that the tasks of the entry process share.
#[derive(Debug)]
pub struct State {
    /// Settings from the settings file.
    pub settings: settings::Settings,
    /// Name of this run of the process, unique over all hosts and restarts.
    pub incarnation: name::Incarnation,
    /// Monotonic and wall clock.
    pub clock: clock::Clock,
    /// Sender of statsd metrics.
    pub metrics: metrics::Metrics,
    /// Rate limiter of client accounts, with this host's share of each limit.
    pub rate_limiter: rate_limit::RateLimiter,
    /// Ledger of the idempotency keys that this process decides on.
    pub ledger: idempotency::SharedLedger,
    /// Connections to the entry processes of other hosts.
    pub peers: idempotency::Peers,
    /// Cache of ledger copies that were read from the object store.
    pub copies: idempotency::CopyCache,
    /// Circuit breaker for requests that crash targets.
    pub breaker: breaker::SharedBreaker,
    /// Load balancer over the targets of all services.
    pub balancer: balance::Balancer,
    /// Pool of connections to targets.
    pub connections: connections::Pool,
    /// Decision records that wait to be stored.
    pub journal: journal::Journal,
    /// Client of the platform's table and object store.
    pub platform: platform::Client,
    view: sync::RwLock<sync::Arc<view::View>>,
    is_leaving: atomic::AtomicBool,
    sequence: atomic::AtomicU64,
}

impl State {
    /// Creates the state of a new process, with a random incarnation.
    ///
    /// # Errors
    ///
    /// Fails when no random incarnation can be generated or the metrics socket cannot be opened.
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

    /// Returns the current view of records and entry hosts.
    #[must_use]
    pub fn view(&self) -> sync::Arc<view::View> {
        sync::Arc::clone(
            &self
                .view
                .read()
                .unwrap_or_else(sync::PoisonError::into_inner),
        )
    }

    /// Replaces the view of records and entry hosts.
    pub fn set_view(&self, view: view::View) {
        let mut current = self
            .view
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *current = sync::Arc::new(view);
    }

    /// Returns whether the process serves requests: records installed, limiter ready, not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_limiter_ready = self.rate_limiter.is_ready(self.clock.now());
        self.view().has_records() && is_limiter_ready && !self.is_leaving()
    }

    /// Returns whether a graceful shutdown has begun.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(atomic::Ordering::Acquire)
    }

    /// Marks the start of a graceful shutdown.
    pub fn begin_leaving(&self) {
        self.is_leaving.store(true, atomic::Ordering::Release);
    }

    /// Returns a new request id, unique over all entry hosts.
    #[must_use]
    pub fn next_request_id(&self) -> String {
        let number = self.sequence.fetch_add(1, atomic::Ordering::Relaxed);
        format!("{}.{number:x}", self.incarnation)
    }
}
