//! The registered targets, including entries that expired during an outage of the store.

use std::collections;
use std::time;

use crate::instant;
use crate::name;

use super::target;

/// Time after an outage in which targets with expired entries register again.
///
/// The platform guarantees this time.
const REGISTRATION_TIME: time::Duration = time::Duration::from_millis(2_200);

/// Number of remembered start times at which those of unlisted targets are dropped.
const MAX_STARTS: usize = 16_384;

/// The registered targets, including entries that expired during an outage of the store.
///
/// The store drops the entries of targets that cannot reach it. An entry that is missing
/// during an outage or right after it is retained until the target had time to register
/// again. A draining target is never retained.
#[derive(Debug, Default)]
pub struct Registry {
    entries: collections::BTreeMap<name::Target, Entry>,
    starts: collections::HashMap<name::Target, u64>,
    store: StoreReach,
}

#[derive(Debug)]
struct Entry {
    target: target::Target,
    /// Whether the target is retained although the store doesn't list it any more.
    is_retained: bool,
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

    /// Adds or updates a target; returns false for an entry of an earlier run of its process.
    pub fn put(&mut self, target: target::Target) -> bool {
        if self.starts.len() >= MAX_STARTS {
            let entries = &self.entries;
            self.starts.retain(|id, _started| entries.contains_key(id));
        }
        if let Some(started) = target.started_millis {
            let newest = self.starts.entry(target.id.clone()).or_insert(started);
            if started < *newest {
                return false;
            }
            *newest = started;
        }
        let id = target.id.clone();
        let entry = Entry {
            target,
            is_retained: false,
        };
        self.entries.insert(id, entry);
        true
    }

    /// Removes a target that is no longer listed, unless its entry may have expired in an outage.
    ///
    /// `is_certain` is set if another host reports the removal and doesn't retain the entry.
    pub fn remove(&mut self, id: &name::Target, is_certain: bool, now: instant::Instant) {
        let entry = self.entries.get_mut(id);
        match entry.filter(|entry| entry.target.state == target::TargetState::Ready) {
            Some(entry) if !is_certain && !is_authoritative(self.store, now) => {
                entry.is_retained = true;
            }
            _ => {
                self.entries.remove(id);
            }
        }
    }

    /// Removes a target whose entry is not valid.
    pub fn discard(&mut self, id: &name::Target) {
        self.entries.remove(id);
    }

    /// Removes and returns the retained targets that did not register again in time.
    pub fn expire(&mut self, now: instant::Instant) -> Vec<name::Target> {
        if !is_authoritative(self.store, now) {
            return Vec::new();
        }
        let expired = self.entries.iter().filter(|(_id, entry)| entry.is_retained);
        let ids: Vec<name::Target> = expired.map(|(id, _entry)| id.clone()).collect();
        for id in &ids {
            self.entries.remove(id);
        }
        ids
    }

    /// Returns the targets that are retained although the store doesn't list them any more.
    #[must_use]
    pub fn retained(&self) -> Vec<name::Target> {
        let retained = self.entries.iter().filter(|(_id, entry)| entry.is_retained);
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
