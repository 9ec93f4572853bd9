//! What the tasks of the process share.

use std::path;
use std::sync;
use std::sync::atomic;
use std::time;

use skylark_core::instant;
use skylark_core::traffic;
use skylark_platform::settings;
use skylark_platform::store;
use skylark_runtime::clock;

use super::asks;
use super::connections;
use super::error;
use super::knowledge;
use super::memory;
use super::metrics;
use super::peers;

/// Time for which callers keep a look-up answer; three of them fit in the usual stop.
const LOOKUP_TTL: time::Duration = time::Duration::from_millis(1_500);

/// What the tasks of the process share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) path: path::PathBuf,
    pub(crate) clock: clock::Clock,
    pub(crate) life: u64,
    pub(crate) identity: traffic::Identity,
    pub(crate) store: store::Store,
    pub(crate) connections: connections::Connections,
    pub(crate) peers: peers::Addresses,
    /// Carries the messages between hosts.
    pub(crate) reports: tokio::net::UdpSocket,
    pub(crate) asks: asks::Asks,
    pub(crate) memory: memory::Memory,
    pub(crate) metrics: metrics::Metrics,
    /// Wakes the task that asks other hosts for what they know.
    pub(crate) behind: tokio::sync::Notify,
    /// Wakes the task that tells the other hosts of news.
    pub(crate) news: tokio::sync::Notify,
    /// Wakes the task that looks after waiting requests.
    pub(crate) line: tokio::sync::Notify,
    /// Requests that are being served.
    pub(crate) busy: atomic::AtomicUsize,
    settings: sync::Mutex<settings::Settings>,
    knowledge: sync::Mutex<knowledge::Knowledge>,
    leaving: sync::Mutex<Option<instant::Instant>>,
}

impl State {
    /// Creates the state of a process that knows nothing but its settings.
    pub(crate) fn new(
        path: path::PathBuf,
        settings: settings::Settings,
        reports: tokio::net::UdpSocket,
    ) -> error::Result<Self> {
        let digits = skylark_runtime::identity::random_hex()?;
        let life = digits.bytes().fold(0_u64, |life, digit| {
            life.wrapping_mul(31).wrapping_add(digit.into())
        });
        let identity = traffic::Identity {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        let desk =
            traffic::Dispatcher::new(identity.clone(), settings.layout.clone(), settings.limits);
        Ok(Self {
            path,
            clock: clock::Clock::new(),
            life,
            identity,
            store: store::Store::new(),
            connections: connections::Connections::new(),
            peers: peers::Addresses::new(&settings.seeds, settings.control),
            reports,
            asks: asks::Asks::default(),
            memory: memory::Memory::default(),
            metrics: metrics::Metrics::default(),
            behind: tokio::sync::Notify::new(),
            news: tokio::sync::Notify::new(),
            line: tokio::sync::Notify::new(),
            busy: atomic::AtomicUsize::new(0),
            settings: sync::Mutex::new(settings),
            knowledge: sync::Mutex::new(knowledge::Knowledge::new(desk)),
            leaving: sync::Mutex::new(None),
        })
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> settings::Settings {
        lock(&self.settings).clone()
    }

    /// Puts settings in force; returns whether they differ from those before.
    pub(crate) fn set_settings(&self, settings: settings::Settings) -> bool {
        let mut current = lock(&self.settings);
        let differs = *current != settings;
        self.knowledge()
            .dispatcher_mut()
            .set_limits(settings.limits);
        *current = settings;
        differs
    }

    /// Returns what the host knows, for reading and changing it.
    pub(crate) fn knowledge(&self) -> sync::MutexGuard<'_, knowledge::Knowledge> {
        lock(&self.knowledge)
    }

    /// Returns what the host does for callers now.
    pub(crate) fn phase(&self) -> traffic::Phase {
        if self.left().is_some() {
            traffic::Phase::Leaving
        } else if self.knowledge().is_whole(self.clock.now()) {
            traffic::Phase::Ready
        } else {
            traffic::Phase::Starting
        }
    }

    /// Notes that the process is to stop.
    pub(crate) fn leave(&self) {
        lock(&self.leaving).get_or_insert(self.clock.now());
        self.news.notify_one();
    }

    /// Returns when the stop was asked for.
    pub(crate) fn left(&self) -> Option<instant::Instant> {
        *lock(&self.leaving)
    }

    /// Returns the port on which every host hears messages.
    pub(crate) fn report_port(&self) -> u16 {
        lock(&self.settings).report_port
    }

    /// Returns the time for which callers may keep a look-up answer.
    pub(crate) fn lookup_ttl(&self) -> time::Duration {
        LOOKUP_TTL.min(lock(&self.settings).ttl)
    }

    /// Returns how this host describes itself to the others.
    pub(crate) fn member(&self) -> traffic::Member {
        let phase = self.phase();
        let settings = lock(&self.settings);
        let known = self.knowledge();
        traffic::Member {
            host: self.identity.host.clone(),
            incarnation: self.life,
            zone: self.identity.zone.clone(),
            caller_address: settings.callers,
            control_address: settings.control,
            phase,
            versions: known.changed(),
            store_access: known.store_access(),
        }
    }
}

/// Locks a mutex whose holders cannot leave it half changed.
fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
