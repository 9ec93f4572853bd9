//! What the tasks of the control process share.

use std::sync;

use skylark_core::instant;
use skylark_core::lease;
use skylark_core::member;
use skylark_core::name;
use skylark_core::record;
use skylark_core::unit;
use skylark_runtime::clock;
use skylark_runtime::error;
use skylark_runtime::identity;
use skylark_wire::control;
use skylark_wire::peer;
use skylark_wire::platform;

use super::known;
use super::owner;
use super::settings;

/// Everything that the tasks of the control process share.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// This life of the process, as a member of the roster.
    pub me: member::Member,
    /// Monotonic clock.
    pub clock: clock::Clock,
    /// Client of the platform.
    pub platform: platform::Client,
    /// Wakes the tasks that tell the host's processes.
    pub changed: tokio::sync::watch::Sender<u64>,
    /// What this process owns of the budgets.
    pub post: owner::Post,
    known: sync::Mutex<known::Known>,
}

/// What the host's own processes are told.
#[derive(Clone, Debug)]
pub struct View {
    /// Version in force.
    pub version: unit::Version,
    /// Records of that version.
    pub records: sync::Arc<Vec<record::Document>>,
    /// Instant before the last proof that nothing newer was accepted, if there is one.
    pub fresh_at: Option<instant::Instant>,
    /// Entry hosts that are known to serve.
    pub hosts: Vec<control::Host>,
}

impl State {
    /// Creates the state of a process that knows nothing.
    ///
    /// # Errors
    ///
    /// Fails when no incarnation can be drawn.
    pub fn new(settings: settings::Settings) -> error::Result<Self> {
        let clock = clock::Clock::new();
        let me = member::Member {
            incarnation: identity::incarnation(&settings.host)?,
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            steer: settings.ports.steer,
        };
        let known = known::Known::new(me.clone(), clock.now());
        Ok(Self {
            clock,
            platform: platform::Client::new(&settings.platform),
            changed: tokio::sync::watch::Sender::new(0),
            post: owner::Post::default(),
            known: sync::Mutex::new(known),
            me,
            settings,
        })
    }

    /// Reads or changes what is known.
    pub fn with<R>(&self, act: impl FnOnce(&mut known::Known) -> R) -> R {
        act(&mut self
            .known
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner))
    }

    /// Returns what the host's own processes are told.
    pub fn view(&self) -> View {
        let now = self.clock.now();
        self.with(|known| View {
            version: known.config.version(),
            records: sync::Arc::clone(&known.records),
            fresh_at: known.node.proof(now).map(|proof| proof.at),
            hosts: known.hosts(self.settings.patience(), now),
        })
    }

    /// Returns this host as its peers see it, once its entry process is known.
    pub fn host(&self) -> Option<control::Host> {
        let entry = self.with(|known| known.entry.clone())?;
        Some(control::Host {
            host: self.settings.host.clone(),
            incarnation: entry.incarnation,
            zone: self.settings.zone.clone(),
            ports: self.settings.ports,
            phase: entry.phase,
        })
    }

    /// Forms the question that peers are asked.
    pub fn question(&self) -> peer::Request {
        let host = self.host();
        self.with(|known| peer::Request {
            membership: known.node.ask(),
            host,
            installed: known.installed(),
            leases: known.held(),
            etags: known.directory.stamps(),
        })
    }

    /// Wakes the tasks that tell the host's processes.
    pub fn tell(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns the time for which this process may act under a lease.
    ///
    /// The process contends for the lease from the first call on.
    pub fn tenure(&self, lease: &str) -> lease::Term {
        self.with(|known| known.seat(lease).term())
    }

    /// Returns the time for which this process may act under a lease that it contends for.
    pub fn tenure_held(&self, lease: &str) -> Option<lease::Term> {
        self.with(|known| Some(known.seats.get(lease)?.term()))
    }

    /// Returns whether records are known and proved to be the newest.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let view = self.view();
        view.version > unit::Version::NONE && view.fresh_at.is_some()
    }

    /// Returns this life's name.
    pub const fn incarnation(&self) -> &name::Incarnation {
        &self.me.incarnation
    }
}
