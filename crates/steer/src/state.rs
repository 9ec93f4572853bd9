//! State shared by the tasks of the control process.

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

use super::control_state;
use super::owner;
use super::settings;

/// State shared by the tasks of the control process.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// This incarnation of the process, as it appears in the roster when it is a member.
    pub member: member::Member,
    /// Monotonic clock.
    pub clock: clock::Clock,
    /// Client of the platform's table and list of hosts.
    pub platform: platform::Client,
    /// Counter whose changes wake the tasks that push views.
    pub changed: tokio::sync::watch::Sender<u64>,
    /// Owner of the budgets while this process holds their lease.
    pub budget_owner: owner::ElectedOwner,
    control: sync::Mutex<control_state::ControlState>,
}

/// Records and hosts to push to the host's own processes.
#[derive(Clone, Debug)]
pub struct View {
    /// Version of the records.
    pub version: unit::Version,
    /// Records in force.
    pub records: sync::Arc<Vec<record::Document>>,
    /// Latest instant at which, as proved, no newer version was accepted; absent without a proof.
    pub fresh_at: Option<instant::Instant>,
    /// Entry hosts of all zones that have a member, in any phase.
    pub hosts: Vec<control::Host>,
}

impl State {
    /// Creates the state of a process that has read nothing yet.
    ///
    /// # Errors
    ///
    /// Fails when the operating system provides no random bytes for the incarnation.
    pub fn new(settings: settings::Settings) -> error::Result<Self> {
        let clock = clock::Clock::new();
        let member = member::Member {
            incarnation: identity::incarnation(&settings.host)?,
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            steer: settings.ports.steer,
        };
        let control = control_state::ControlState::new(member.clone(), clock.now());
        Ok(Self {
            clock,
            platform: platform::Client::new(&settings.platform),
            changed: tokio::sync::watch::Sender::new(0),
            budget_owner: owner::ElectedOwner::default(),
            control: sync::Mutex::new(control),
            member,
            settings,
        })
    }

    /// Runs a closure on the locked control state.
    pub fn with<R>(&self, access: impl FnOnce(&mut control_state::ControlState) -> R) -> R {
        access(
            &mut self
                .control
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner),
        )
    }

    /// Returns the view to push to the host's own processes.
    pub fn view(&self) -> View {
        let now = self.clock.now();
        self.with(|control| View {
            version: control.config.version(),
            records: sync::Arc::clone(&control.records),
            fresh_at: control.node.proof(now).map(|proof| proof.at),
            hosts: control.hosts(self.settings.silence_timeout(), now),
        })
    }

    /// Returns this host as listed to its peers, once its entry process has answered a push.
    pub fn host(&self) -> Option<control::Host> {
        let entry = self.with(|control| control.entry.clone())?;
        Some(control::Host {
            host: self.settings.host.clone(),
            incarnation: entry.incarnation,
            zone: self.settings.zone.clone(),
            ports: self.settings.ports,
            phase: entry.phase,
        })
    }

    /// Builds the request with which peers are polled.
    pub fn peer_request(&self) -> peer::Request {
        let host = self.host();
        self.with(|control| peer::Request {
            membership: control.node.ask(),
            host,
            installed: control.entry_version(),
            leases: control.held_leases(),
            etags: control.directory.etags(),
        })
    }

    /// Wakes the tasks that push views to the host's processes.
    pub fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns the term of this process in a lease, for which it contends from the first call on.
    pub fn contend_for(&self, lease: &str) -> lease::Term {
        self.with(|control| control.elector(lease).term())
    }

    /// Returns the term of this process in a lease, or `None` if it does not contend for the lease.
    pub fn existing_term(&self, lease: &str) -> Option<lease::Term> {
        self.with(|control| Some(control.electors.get(lease)?.term()))
    }

    /// Returns whether records are in force and proved to be fresh; backs the readiness check.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let view = self.view();
        view.version > unit::Version::NONE && view.fresh_at.is_some()
    }

    /// Returns the incarnation of this process.
    pub const fn incarnation(&self) -> &name::Incarnation {
        &self.member.incarnation
    }
}
