//! What the tasks of the control process share.

use std::sync;

use skylark_core::instant;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;
use skylark_runtime::clock;
use skylark_wire::control;
use skylark_wire::platform;

use super::settings;

/// Everything that the tasks of the control process share.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// Monotonic clock.
    pub clock: clock::Clock,
    /// Client of the platform.
    pub platform: platform::Client,
    /// Wakes the tasks that tell the host's processes.
    pub changed: tokio::sync::watch::Sender<u64>,
    known: sync::Mutex<Known>,
}

/// What the control process knows.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Newest version that was read.
    pub version: unit::Version,
    /// Records of that version.
    pub records: sync::Arc<Vec<record::Document>>,
    /// Instant before the last read that showed nothing newer.
    pub fresh_at: instant::Instant,
    /// Entry hosts that are known to serve.
    pub hosts: Vec<control::Host>,
    /// Life and phase of this host's entry process, and the version that it has in force.
    pub entry: Option<Entry>,
}

/// What this host's entry process said last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of this life of the entry process.
    pub incarnation: name::Incarnation,
    /// Whether it takes new work.
    pub phase: control::Phase,
    /// Version that it has in force.
    pub version: unit::Version,
}

impl State {
    /// Creates the state of a process that knows nothing.
    #[must_use]
    pub fn new(settings: settings::Settings) -> Self {
        Self {
            clock: clock::Clock::new(),
            platform: platform::Client::new(&settings.platform),
            changed: tokio::sync::watch::Sender::new(0),
            known: sync::Mutex::default(),
            settings,
        }
    }

    /// Returns what is known.
    #[must_use]
    pub fn known(&self) -> Known {
        self.known
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }

    /// Changes what is known.
    pub fn learn(&self, change: impl FnOnce(&mut Known)) {
        change(
            &mut self
                .known
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner),
        );
    }

    /// Wakes the tasks that tell the host's processes.
    pub fn tell(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns whether any records are known.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.known().version > unit::Version::NONE
    }
}
