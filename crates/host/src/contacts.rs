//! Addresses of the other hosts, and when each is due for a report.

use std::collections;
use std::net;
use std::sync;
use std::time;

use skylark_core::instant;
use skylark_core::name;
use skylark_core::traffic;

/// Time of silence after which a host gets reports seldom.
const FREQUENT_REPORT_TIME: time::Duration = time::Duration::from_secs(30);
/// Time between reports to a host silent for at least [`FREQUENT_REPORT_TIME`].
const SILENT_REPORT_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Time between reports to a host that is known from relays only, while it is silent.
const RELAYED_REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Control addresses of the other hosts, and when they were last heard.
#[derive(Debug)]
pub(crate) struct Contacts {
    own: net::SocketAddr,
    seeds: Vec<net::SocketAddr>,
    known: sync::Mutex<collections::BTreeMap<net::SocketAddr, Contact>>,
    /// Whether the other hosts' rows in the store were read once.
    is_listed: tokio::sync::watch::Sender<bool>,
}

#[derive(Clone, Debug, Default)]
struct Contact {
    /// Availability zone; `None` before the first message.
    zone: Option<name::Zone>,
    /// Last message of the host, direct or through a relay.
    heard_at: Option<instant::Instant>,
    /// Last report that was due for the host.
    reported_at: Option<instant::Instant>,
    /// First check for due reports since the address was added.
    added_at: Option<instant::Instant>,
}

impl Contacts {
    /// Creates contacts from the seed addresses of the settings.
    pub(crate) fn new(seeds: &[net::SocketAddr], own: net::SocketAddr) -> Self {
        let contacts = Self {
            own,
            seeds: seeds.iter().copied().filter(|seed| *seed != own).collect(),
            known: sync::Mutex::default(),
            is_listed: tokio::sync::watch::Sender::new(false),
        };
        contacts.seeds.iter().for_each(|seed| contacts.add(*seed));
        contacts
    }

    /// Adds an address, unless it is this host's own.
    pub(crate) fn add(&self, address: net::SocketAddr) {
        if address != self.own {
            self.lock().entry(address).or_default();
        }
    }

    /// Records that a host was heard, directly or through a relay.
    pub(crate) fn record_heard(&self, member: &traffic::Member, now: instant::Instant) {
        if member.control_address == self.own {
            return;
        }
        let mut known = self.lock();
        let contact = known.entry(member.control_address).or_default();
        contact.heard_at = Some(now);
        if contact.zone.as_ref() != Some(&member.zone) {
            contact.zone = Some(member.zone.clone());
        }
    }

    /// Returns the addresses that are due for a report, and marks them as reported.
    ///
    /// Hosts that are not `near` hear of this one through relays, unless they are silent.
    /// Hosts that have been silent for long get reports seldom.
    pub(crate) fn due_for_report(
        &self,
        near: impl Fn(net::SocketAddr, &name::Zone) -> bool,
        now: instant::Instant,
    ) -> Vec<net::SocketAddr> {
        let mut due = Vec::new();
        for (address, contact) in self.lock().iter_mut() {
            let since = contact.heard_at.or(contact.added_at);
            contact.added_at = contact.added_at.or(Some(now));
            let silence = since.map_or(time::Duration::ZERO, |at| now.since(at));
            let is_near = contact
                .zone
                .as_ref()
                .is_none_or(|zone| near(*address, zone));
            let is_live =
                contact.heard_at.is_some() && silence < traffic::Fleet::RELAYED_LIVENESS_TIMEOUT;
            let interval = match (is_near, is_live) {
                _ if silence >= FREQUENT_REPORT_TIME => Some(SILENT_REPORT_INTERVAL),
                (true, _) => Some(time::Duration::ZERO),
                (false, true) => None,
                (false, false) => Some(RELAYED_REPORT_INTERVAL),
            };
            let reported_at = contact.reported_at;
            let is_due = interval
                .is_some_and(|interval| reported_at.is_none_or(|at| now.since(at) >= interval));
            if is_due {
                contact.reported_at = Some(now);
                due.push(*address);
            }
        }
        due
    }

    /// Records that the other hosts' rows in the store were read.
    pub(crate) fn set_listed(&self) {
        self.is_listed.send_replace(true);
    }

    /// Waits until the other hosts' rows in the store were read once.
    pub(crate) async fn listed(&self) {
        let mut is_listed = self.is_listed.subscribe();
        // The sender lives as long as the contacts.
        let _closed = is_listed.wait_for(|is_listed| *is_listed).await.is_err();
    }

    /// Returns the addresses of the seeds.
    pub(crate) fn seeds(&self) -> &[net::SocketAddr] {
        &self.seeds
    }

    /// Returns all known addresses.
    pub(crate) fn all(&self) -> Vec<net::SocketAddr> {
        self.lock().keys().copied().collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<net::SocketAddr, Contact>> {
        self.known
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
