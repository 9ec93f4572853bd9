//! The registered targets, including entries that a store outage or an older copy left out.

use std::collections;
use std::time;

use crate::instant;
use crate::name;

use super::target;

/// Time after an outage in which targets with expired entries register again.
///
/// The platform guarantees this time.
const REGISTRATION_TIME: time::Duration = time::Duration::from_millis(2_200);

/// Number of remembered descriptions at which those of unlisted targets are dropped.
const MAX_DESCRIPTIONS: usize = 16_384;
/// Heartbeats without which the store drops an entry.
const MISSED_HEARTBEATS: u32 = 3;
const DEFAULT_HEARTBEAT: time::Duration = time::Duration::from_millis(1_500);

/// The registered targets, including entries that a store outage or an older copy left out.
///
/// The store drops the entries of targets that cannot reach it. An entry that is missing
/// during an outage or right after it is retained until the target had time to register
/// again. A draining target is never retained.
///
/// A store that returns from an older copy lists targets as they were. An entry that is older
/// than what its target said of itself, or than its removal, is set aside until the target
/// registers again, or until the store would have dropped it.
#[derive(Debug)]
pub struct Registry {
    entries: collections::BTreeMap<name::Target, Entry>,
    newest: collections::HashMap<name::Target, Description>,
    /// Entries older than what is known of their targets.
    outdated: collections::BTreeMap<name::Target, target::Target>,
    /// When the store returned from an older copy, while its entries may be outdated.
    restored_at: Option<instant::Instant>,
    heartbeat: time::Duration,
    store: StoreReach,
}

/// The newest description of a target.
#[derive(Clone, Copy, Debug)]
struct Description {
    started_millis: Option<u64>,
    sequence: u64,
    is_removed: bool,
}

impl Description {
    /// Returns whether an entry is older than this description, or than the removal after it.
    fn is_after(self, target: &target::Target) -> bool {
        // Without the target's start, its numbers of two runs cannot be told apart.
        let is_same_run =
            target.started_millis.is_some() && target.started_millis == self.started_millis;
        is_same_run
            && (target.sequence < self.sequence
                || self.is_removed && target.sequence == self.sequence)
    }
}

impl Default for Registry {
    fn default() -> Self {
        Self {
            entries: collections::BTreeMap::new(),
            newest: collections::HashMap::new(),
            outdated: collections::BTreeMap::new(),
            restored_at: None,
            heartbeat: DEFAULT_HEARTBEAT,
            store: StoreReach::default(),
        }
    }
}

#[derive(Debug)]
struct Entry {
    target: target::Target,
    retention: Retention,
}

/// Why a target is retained although the store doesn't list it any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retention {
    /// The store lists the target.
    None,
    /// Its entry may have expired in an outage.
    Outage,
    /// The copy from which the store returned may be older than the entry.
    Copy,
}

/// Whether the store is reachable, and since when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StoreReach {
    /// The store was always reachable.
    #[default]
    Always,
    /// The store is unreachable.
    Lost,
    /// The store is reachable again since this instant.
    Since(instant::Instant),
}

impl Registry {
    /// Sets the time between two heartbeats of a target.
    #[must_use]
    pub const fn with_heartbeat(mut self, heartbeat: time::Duration) -> Self {
        self.heartbeat = heartbeat;
        self
    }

    /// Records that the store returned from an older copy, whose entries may be outdated.
    pub const fn restore(&mut self, now: instant::Instant) {
        self.restored_at = Some(now);
    }

    /// Retains a target that the copy leaves out, unless it is draining.
    pub fn retain_missing(&mut self, id: &name::Target) {
        match self.entries.get_mut(id) {
            Some(entry) if entry.target.state == target::TargetState::Ready => {
                entry.retention = Retention::Copy;
            }
            _ => self.drop_entry(id),
        }
    }

    /// Sets whether the store is reachable; returns whether that changed.
    pub fn set_store_reachable(&mut self, is_reachable: bool, now: instant::Instant) -> bool {
        let before = self.store;
        self.store = match (before, is_reachable) {
            (StoreReach::Lost, true) => StoreReach::Since(now),
            (_, true) => before,
            (_, false) => StoreReach::Lost,
        };
        (before == StoreReach::Lost) == is_reachable
    }

    /// Adds or updates a target; returns false for an entry that is older than what is known.
    pub fn put(&mut self, target: target::Target) -> bool {
        if self.newest.len() >= MAX_DESCRIPTIONS {
            let entries = &self.entries;
            self.newest.retain(|id, _newest| entries.contains_key(id));
        }
        let newest = self.newest.get(&target.id).copied();
        if newest.is_some_and(|newest| {
            target.started_millis.is_some() && target.started_millis < newest.started_millis
        }) {
            return false;
        }
        if self.restored_at.is_some() && newest.is_some_and(|newest| newest.is_after(&target)) {
            if let Some(entry) = self.entries.get_mut(&target.id) {
                entry.retention = Retention::None;
            }
            self.outdated.insert(target.id.clone(), target);
            return false;
        }
        self.accept(target);
        true
    }

    fn accept(&mut self, target: target::Target) {
        let id = target.id.clone();
        self.outdated.remove(&id);
        let started_millis = target
            .started_millis
            .or_else(|| self.newest.get(&id)?.started_millis);
        let description = Description {
            started_millis,
            sequence: target.sequence,
            is_removed: false,
        };
        self.newest.insert(id.clone(), description);
        let entry = Entry {
            target,
            retention: Retention::None,
        };
        self.entries.insert(id, entry);
    }

    /// Removes a target that is no longer listed, unless its entry may have expired in an outage.
    ///
    /// `is_certain` is set if another host reports the removal and doesn't retain the entry.
    pub fn remove(&mut self, id: &name::Target, is_certain: bool, now: instant::Instant) {
        self.outdated.remove(id);
        let entry = self.entries.get_mut(id);
        match entry.filter(|entry| entry.target.state == target::TargetState::Ready) {
            Some(entry) if !is_certain && !is_authoritative(self.store, now) => {
                entry.retention = Retention::Outage;
            }
            _ => self.drop_entry(id),
        }
    }

    /// Removes a target whose entry is not valid.
    pub fn discard(&mut self, id: &name::Target) {
        self.outdated.remove(id);
        self.drop_entry(id);
    }

    fn drop_entry(&mut self, id: &name::Target) {
        self.entries.remove(id);
        if let Some(newest) = self.newest.get_mut(id) {
            newest.is_removed = true;
        }
    }

    /// Accepts and returns the outdated entries that the store still lists although it would have
    /// dropped them if their targets were gone.
    pub fn accept_outdated(&mut self, now: instant::Instant) -> Vec<name::Target> {
        // Entries stay listed as long as nothing can be read.
        let readable_since = match self.store {
            StoreReach::Always => self.restored_at,
            StoreReach::Lost => None,
            StoreReach::Since(at) => self.restored_at.map(|restored| restored.max(at)),
        };
        let silence = self.heartbeat * MISSED_HEARTBEATS + REGISTRATION_TIME;
        if readable_since.is_none_or(|at| now.since(at) < silence) {
            return Vec::new();
        }
        self.restored_at = None;
        let mut outdated = std::mem::take(&mut self.outdated);
        outdated.retain(|id, target| {
            let known = self.entries.get(id);
            known.is_none_or(|entry| entry.target.state != target.state)
        });
        let ids = outdated.keys().cloned().collect();
        for target in outdated.into_values() {
            self.accept(target);
        }
        ids
    }

    /// Removes and returns the retained targets that did not register again in time.
    pub fn expire(&mut self, now: instant::Instant) -> Vec<name::Target> {
        if self.store == StoreReach::Lost {
            return Vec::new();
        }
        let is_listed_again = is_authoritative(self.store, now);
        let is_copy_complete = self
            .restored_at
            .is_none_or(|at| now.since(at) >= REGISTRATION_TIME);
        let expired = self
            .entries
            .iter()
            .filter(|(_id, entry)| match entry.retention {
                Retention::None => false,
                Retention::Outage => is_listed_again,
                Retention::Copy => is_listed_again && is_copy_complete,
            });
        let ids: Vec<name::Target> = expired.map(|(id, _entry)| id.clone()).collect();
        for id in &ids {
            self.drop_entry(id);
        }
        ids
    }

    /// Returns the targets that are retained although the store doesn't list them any more.
    #[must_use]
    pub fn retained(&self) -> Vec<name::Target> {
        let is_retained = |entry: &Entry| entry.retention != Retention::None;
        let retained = self
            .entries
            .iter()
            .filter(|(_id, entry)| is_retained(entry));
        retained.map(|(id, _entry)| id.clone()).collect()
    }

    /// Returns the targets in order of their names.
    #[must_use]
    pub fn targets(&self) -> Vec<target::Target> {
        let entries = self.entries.values();
        entries.map(|entry| entry.target.clone()).collect()
    }
}

/// Returns whether a target that the store doesn't list is gone, rather than lost in an outage.
fn is_authoritative(store: StoreReach, now: instant::Instant) -> bool {
    match store {
        StoreReach::Always => true,
        StoreReach::Lost => false,
        StoreReach::Since(at) => now.since(at) >= REGISTRATION_TIME,
    }
}
