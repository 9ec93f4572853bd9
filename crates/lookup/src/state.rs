//! What the tasks of the look-up process share.

use std::sync;
use std::sync::atomic;

use skylark_core::catalog;
use skylark_core::unit;
use skylark_runtime::clock;
use skylark_runtime::error;
use skylark_runtime::metrics;
use skylark_wire::control;

use super::answer;
use super::settings;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Everything that the tasks of the look-up process share.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// Monotonic clock.
    pub clock: clock::Clock,
    /// Sender of metrics.
    pub metrics: metrics::Metrics,
    view: sync::RwLock<sync::Arc<View>>,
    turn: atomic::AtomicUsize,
}

/// What the look-up process has in force.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The records.
    pub catalog: sync::Arc<catalog::Catalog>,
    /// Entry hosts that are known to serve.
    pub hosts: Vec<control::Host>,
    /// Rendered answers.
    pub answers: answer::Answers,
}

impl State {
    /// Creates the state of a process that has started.
    ///
    /// # Errors
    ///
    /// Fails when metrics cannot be sent.
    pub fn new(settings: settings::Settings) -> error::Result<Self> {
        Ok(Self {
            clock: clock::Clock::new(),
            metrics: metrics::sender("skylark.lookup", settings.statsd)?,
            view: sync::RwLock::default(),
            turn: atomic::AtomicUsize::new(0),
            settings,
        })
    }

    /// Returns what is in force.
    #[must_use]
    pub fn view(&self) -> sync::Arc<View> {
        sync::Arc::clone(
            &self
                .view
                .read()
                .unwrap_or_else(sync::PoisonError::into_inner),
        )
    }

    /// Changes what is in force.
    pub fn set_view(&self, view: View) {
        let mut slot = self
            .view
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *slot = sync::Arc::new(view);
    }

    /// Returns what is in force, with answers whose time of issue is recent.
    #[must_use]
    pub fn recent_view(&self) -> sync::Arc<View> {
        let view = self.view();
        let seconds = self.seconds();
        if !view.answers.is_expired(seconds) {
            return view;
        }
        let answers = answer::Answers::new(&view.catalog, &view.hosts, seconds);
        let renewed = sync::Arc::new(View {
            answers,
            ..view.as_ref().clone()
        });
        let mut slot = self
            .view
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if sync::Arc::ptr_eq(&slot, &view) {
            *slot = sync::Arc::clone(&renewed);
        }
        renewed
    }

    /// Returns the wall-clock time, in seconds since the Unix epoch.
    #[must_use]
    pub fn seconds(&self) -> u64 {
        self.clock.wall().as_millis() / MILLIS_PER_SECOND
    }

    /// Returns whether any records are in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.view().catalog.version > unit::Version::NONE
    }

    /// Returns a number that differs from call to call.
    #[must_use]
    pub fn next_turn(&self) -> usize {
        self.turn.fetch_add(1, atomic::Ordering::Relaxed)
    }
}
