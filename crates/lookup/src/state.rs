//! State shared by the tasks of the look-up process: settings, clock, metrics, view in force.

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

/// State shared by the tasks of the look-up process.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// Monotonic clock.
    pub clock: clock::Clock,
    /// Client that sends metrics as statsd datagrams.
    pub metrics: metrics::Metrics,
    view: sync::RwLock<sync::Arc<View>>,
    rotation: atomic::AtomicUsize,
}

/// Records and hosts from which look-ups are answered; replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Index of the configuration records in force.
    pub catalog: sync::Arc<catalog::Catalog>,
    /// Entry hosts that the control process listed last, in any phase.
    pub hosts: Vec<control::Host>,
    /// Answers rendered from the records and the hosts.
    pub answers: answer::Answers,
}

impl State {
    /// Creates the state of a process that has not received a view yet.
    ///
    /// # Errors
    ///
    /// Fails when metrics cannot be sent.
    pub fn new(settings: settings::Settings) -> error::Result<Self> {
        Ok(Self {
            clock: clock::Clock::new(),
            metrics: metrics::sender("skylark.lookup", settings.statsd)?,
            view: sync::RwLock::default(),
            rotation: atomic::AtomicUsize::new(0),
            settings,
        })
    }

    /// Returns the view in force.
    #[must_use]
    pub fn view(&self) -> sync::Arc<View> {
        sync::Arc::clone(
            &self
                .view
                .read()
                .unwrap_or_else(sync::PoisonError::into_inner),
        )
    }

    /// Replaces the view in force.
    pub fn set_view(&self, view: View) {
        let mut current = self
            .view
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *current = sync::Arc::new(view);
    }

    /// Returns the view in force, after rendering its answers again if they have expired.
    #[must_use]
    pub fn refreshed_view(&self) -> sync::Arc<View> {
        let view = self.view();
        let now_seconds = self.unix_seconds();
        if !view.answers.is_expired(now_seconds) {
            return view;
        }
        let answers = answer::Answers::new(&view.catalog, &view.hosts, now_seconds);
        let refreshed = sync::Arc::new(View {
            answers,
            ..view.as_ref().clone()
        });
        let mut current = self
            .view
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if sync::Arc::ptr_eq(&current, &view) {
            *current = sync::Arc::clone(&refreshed);
        }
        refreshed
    }

    /// Returns the wall-clock time, in seconds since the Unix epoch.
    #[must_use]
    pub fn unix_seconds(&self) -> u64 {
        self.clock.wall().as_millis() / MILLIS_PER_SECOND
    }

    /// Returns whether a view with records has been installed; backs the readiness check.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.view().catalog.version > unit::Version::NONE
    }

    /// Returns the next value of a counter that rotates callers over equally near hosts.
    #[must_use]
    pub fn next_rotation(&self) -> usize {
        self.rotation.fetch_add(1, atomic::Ordering::Relaxed)
    }
}
