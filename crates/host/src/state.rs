//! State that the tasks of the process share.

use std::path;
use std::sync;
use std::sync::atomic;
use std::time;

use skylark_core::instant;
use skylark_core::traffic;
use skylark_platform::settings;
use skylark_platform::store;
use skylark_runtime::clock;
use skylark_runtime::field;

use super::cluster;
use super::connections;
use super::contacts;
use super::error;
use super::feed;
use super::memory;
use super::metrics;
use super::peers;
use super::pull;
use super::tokens;

/// Longest time for which callers cache a look-up response; three of them fit in the usual
/// grace period.
const MAX_LOOKUP_TTL: time::Duration = time::Duration::from_millis(1_500);

/// State that the tasks of the process share.
#[derive(Debug)]
pub(crate) struct State {
    /// Path of the settings file.
    pub(crate) path: path::PathBuf,
    pub(crate) clock: clock::Clock,
    /// Random number of this process, different after each start.
    pub(crate) incarnation: u64,
    pub(crate) identity: traffic::Identity,
    pub(crate) store: store::Client,
    pub(crate) connections: connections::Pool,
    pub(crate) contacts: contacts::Contacts,
    /// UDP socket of the messages between hosts.
    pub(crate) reports: tokio::net::UdpSocket,
    pub(crate) pending_tokens: tokens::Pending,
    pub(crate) memory: memory::Budget,
    pub(crate) metrics: metrics::Metrics,
    /// Answers to other hosts that are on their way.
    pub(crate) transfers: memory::Budget,
    /// Wakes the tasks that pull table changes from other hosts.
    pub(crate) pulls: pull::Signals,
    /// Wakes the task that sends this host's changes to the others.
    pub(crate) changed: tokio::sync::Notify,
    /// Wakes the task that dispatches queued requests.
    pub(crate) queue_changed: tokio::sync::Notify,
    /// Requests that are being served.
    pub(crate) busy: atomic::AtomicUsize,
    settings: sync::Mutex<settings::Settings>,
    cluster: sync::Mutex<cluster::ClusterState>,
    stopping_since: sync::Mutex<Option<instant::Instant>>,
    /// Whether the process ends as soon as nothing is active any more.
    is_closed: atomic::AtomicBool,
    /// What is known of a suspension, for each table that the host replicates.
    suspensions: sync::Mutex<[traffic::Suspension; feed::WATCHED.len()]>,
    cached_answer: sync::Mutex<Option<peers::CachedAnswer>>,
    /// Newest known epoch of the store.
    store_epoch: tokio::sync::watch::Sender<u64>,
}

impl State {
    /// Creates the state of a process that has only its settings.
    pub(crate) fn new(
        path: path::PathBuf,
        settings: settings::Settings,
        reports: tokio::net::UdpSocket,
    ) -> error::Result<Self> {
        let digits = skylark_runtime::identity::random_hex()?;
        let incarnation = digits.bytes().fold(0_u64, |incarnation, digit| {
            incarnation.wrapping_mul(31).wrapping_add(digit.into())
        });
        let identity = traffic::Identity {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        let dispatcher =
            traffic::Dispatcher::new(identity.clone(), settings.topology.clone(), settings.limits);
        let cluster = cluster::ClusterState::new(dispatcher, settings.heartbeat);
        Ok(Self {
            path,
            clock: clock::Clock::new(),
            incarnation,
            identity,
            store: store::Client::new(),
            connections: connections::Pool::new(),
            contacts: contacts::Contacts::new(&settings.seeds, settings.control),
            reports,
            pending_tokens: tokens::Pending::default(),
            memory: memory::Budget::new(memory::MAX_BODY_BYTES),
            metrics: metrics::Metrics::default(),
            transfers: memory::Budget::new(peers::MAX_BYTES_ON_THE_WAY),
            pulls: pull::Signals::default(),
            changed: tokio::sync::Notify::new(),
            queue_changed: tokio::sync::Notify::new(),
            busy: atomic::AtomicUsize::new(0),
            settings: sync::Mutex::new(settings),
            cluster: sync::Mutex::new(cluster),
            stopping_since: sync::Mutex::new(None),
            is_closed: atomic::AtomicBool::new(false),
            suspensions: sync::Mutex::default(),
            cached_answer: sync::Mutex::new(None),
            store_epoch: tokio::sync::watch::Sender::new(0),
        })
    }

    /// Returns a copy of the current settings.
    pub(crate) fn settings(&self) -> settings::Settings {
        lock(&self.settings).clone()
    }

    /// Replaces the settings; returns whether they differ from the previous ones.
    pub(crate) fn set_settings(&self, settings: settings::Settings) -> bool {
        let mut current = lock(&self.settings);
        let is_changed = *current != settings;
        self.cluster().dispatcher_mut().set_limits(settings.limits);
        *current = settings;
        is_changed
    }

    /// Returns the state of the cluster, locked for reading and changing it.
    pub(crate) fn cluster(&self) -> sync::MutexGuard<'_, cluster::ClusterState> {
        lock(&self.cluster)
    }

    /// Returns the phase of the host, which decides whether callers are sent here.
    pub(crate) fn phase(&self) -> traffic::Phase {
        if self.stopping_since().is_some() {
            traffic::Phase::Leaving
        } else if self.cluster().is_synced(self.clock.now()) {
            traffic::Phase::Ready
        } else {
            traffic::Phase::Starting
        }
    }

    /// Records that the process has been asked to stop.
    pub(crate) fn begin_stop(&self) {
        lock(&self.stopping_since).get_or_insert(self.clock.now());
        self.changed.notify_one();
    }

    /// Refuses all further requests, as the process is about to end.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, atomic::Ordering::Relaxed);
    }

    /// Returns whether the process is about to end.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.load(atomic::Ordering::Relaxed)
    }

    /// Returns when the process was asked to stop.
    pub(crate) fn stopping_since(&self) -> Option<instant::Instant> {
        *lock(&self.stopping_since)
    }

    /// Returns whether what the process knows may be from before a suspension.
    ///
    /// Must be called several times a second, and after the last wait before a request is sent.
    pub(crate) fn is_catching_up(&self) -> bool {
        let now = self.clock.now();
        let boot_time = self.clock.boot_time();
        let mut suspensions = lock(&self.suspensions);
        let gaps = suspensions.each_mut().map(|s| s.observe(now, boot_time));
        if let Some(gap) = gaps.into_iter().flatten().max() {
            log::warn!(gap:% = field::Millis(gap); "process was suspended; asking other hosts what changed");
            self.pulls.notify();
        }
        suspensions.iter().any(|s| s.is_catching_up(now))
    }

    /// Returns whether nothing has shown since the last suspension that the tables are up to date.
    pub(crate) fn lacks_evidence(&self) -> bool {
        // A suspension that has just ended is noticed here.
        self.is_catching_up();
        let suspensions = lock(&self.suspensions);
        suspensions.iter().any(traffic::Suspension::lacks_evidence)
    }

    /// Returns whether the process was suspended after an instant.
    pub(crate) fn was_suspended_since(&self, at: instant::Instant) -> bool {
        // A suspension that has just ended is noticed here.
        self.is_catching_up();
        let suspensions = lock(&self.suspensions);
        suspensions.iter().any(|s| s.has_ended_since(at))
    }

    /// Records an answer of another host or the store to a question for a table's changes, asked
    /// at an instant.
    pub(crate) fn record_evidence(&self, table: store::Table, asked_at: instant::Instant) {
        let mut suspensions = lock(&self.suspensions);
        for (watched, suspension) in feed::WATCHED.into_iter().zip(&mut *suspensions) {
            if watched == table {
                suspension.record_evidence(asked_at);
            }
        }
    }

    /// Returns the newest known epoch of the store.
    pub(crate) fn store_epoch(&self) -> u64 {
        *self.store_epoch.borrow()
    }

    /// Records an epoch of the store, seen in its answers or in those of other hosts.
    pub(crate) fn observe_epoch(&self, epoch: u64) {
        let is_first = self.cluster().versions() == traffic::Versions::default();
        self.store_epoch.send_if_modified(|newest| {
            let is_newer = epoch > *newest;
            if is_newer && is_first {
                log::info!(epoch; "store has returned from an older copy before this start");
            } else if is_newer {
                log::warn!(epoch, before = *newest; "store returned from an older copy; reading all tables again");
            }
            *newest = epoch.max(*newest);
            is_newer
        });
    }

    /// Waits until a newer epoch of the store is known.
    pub(crate) async fn newer_epoch(&self, epoch: u64) {
        let mut epochs = self.store_epoch.subscribe();
        // The sender lives as long as the state.
        let _closed = epochs.wait_for(|newest| *newest > epoch).await.is_err();
    }

    /// Returns the last compressed answer to another host.
    pub(crate) fn cached_answer(&self) -> Option<peers::CachedAnswer> {
        lock(&self.cached_answer).clone()
    }

    /// Keeps a compressed answer for further hosts.
    pub(crate) fn cache_answer(&self, answer: peers::CachedAnswer) {
        *lock(&self.cached_answer) = Some(answer);
    }

    /// Returns the UDP port on which every host receives messages.
    pub(crate) fn report_port(&self) -> u16 {
        lock(&self.settings).report_port
    }

    /// Returns the time for which callers may cache a look-up response.
    pub(crate) fn lookup_ttl(&self) -> time::Duration {
        MAX_LOOKUP_TTL.min(lock(&self.settings).max_ttl)
    }

    /// Returns the membership entry of this host for the others.
    pub(crate) fn member(&self) -> traffic::Member {
        let phase = self.phase();
        let settings = lock(&self.settings);
        let cluster = self.cluster();
        traffic::Member {
            host: self.identity.host.clone(),
            incarnation: self.incarnation,
            zone: self.identity.zone.clone(),
            caller_address: settings.callers,
            control_address: settings.control,
            phase,
            versions: cluster.newest_changes(),
            store_access: cluster.store_access(),
        }
    }
}

/// Locks a mutex, also after a panic of a holder, as no holder leaves its value inconsistent.
fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
