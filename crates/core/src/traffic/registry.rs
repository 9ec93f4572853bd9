//! The targets that the store lists, with those that it lost in an outage.

use std::collections;
use std::time;

use crate::instant;
use crate::name;

use super::target;

/// Time after the store's return in which entries that lapsed come back; stated by the platform.
const RETURN_TIME: time::Duration = time::Duration::from_millis(2_200);

/// Targets whose last start is remembered at most, beside those that are listed.
const MOST_BIRTHS: usize = 16_384;

/// The targets that the store lists, with those that it lost in an outage.
///
/// It answers a store that forgets targets while it cannot be reached: an entry
/// that is missing right after its return is kept until the target had time to
/// register again. A target that says it is leaving is never kept.
#[derive(Debug, Default)]
pub struct Registry {
    entries: collections::BTreeMap<name::Target, Entry>,
    starts: collections::HashMap<name::Target, u64>,
    store: StoreReach,
}

#[derive(Debug)]
struct Entry {
    target: target::Target,
    is_retained: bool,
}

/// Whether the store can be reached, and since when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StoreReach {
    /// It could always be reached.
    #[default]
    Always,
    /// It cannot be reached.
    Lost,
    /// It can be reached again since an instant.
    Since(instant::Instant),
}

impl Registry {
    /// Takes in whether the store can be reached; returns whether that is a change.
    pub fn set_store_reachable(&mut self, is_reached: bool, now: instant::Instant) -> bool {
        let before = self.store;
        self.store = match (before, is_reached) {
            (StoreReach::Lost, true) => StoreReach::Since(now),
            (_, true) => before,
            (_, false) => StoreReach::Lost,
        };
        (before == StoreReach::Lost) == is_reached
    }

    /// Adds or changes a target; an entry of an earlier life of its process is left out.
    pub fn put(&mut self, target: target::Target) -> bool {
        if self.starts.len() >= MOST_BIRTHS {
            let entries = &self.entries;
            self.starts.retain(|id, _born| entries.contains_key(id));
        }
        if let Some(born) = target.started_millis {
            let newest = self.starts.entry(target.id.clone()).or_insert(born);
            if born < *newest {
                return false;
            }
            *newest = born;
        }
        let id = target.id.clone();
        let entry = Entry {
            target,
            is_retained: false,
        };
        self.entries.insert(id, entry);
        true
    }

    /// Removes a target that the store lists no more, unless it may have lapsed in an outage.
    ///
    /// It is certain where another host says so that does not keep the entry itself.
    pub fn remove(&mut self, id: &name::Target, is_certain: bool, now: instant::Instant) {
        let entry = self.entries.get_mut(id);
        match entry.filter(|entry| entry.target.state == target::TargetState::Ready) {
            Some(entry) if !is_certain && !is_settled(self.store, now) => entry.is_retained = true,
            _ => {
                self.entries.remove(id);
            }
        }
    }

    /// Removes a target whose entry names no target to use.
    pub fn discard(&mut self, id: &name::Target) {
        self.entries.remove(id);
    }

    /// Removes the entries that did not come back in time; returns them.
    pub fn expire(&mut self, now: instant::Instant) -> Vec<name::Target> {
        if !is_settled(self.store, now) {
            return Vec::new();
        }
        let gone = self.entries.iter().filter(|(_id, entry)| entry.is_retained);
        let ids: Vec<name::Target> = gone.map(|(id, _entry)| id.clone()).collect();
        for id in &ids {
            self.entries.remove(id);
        }
        ids
    }

    /// Returns the targets that are kept although the store lists them no more.
    #[must_use]
    pub fn retained(&self) -> Vec<name::Target> {
        let kept = self.entries.iter().filter(|(_id, entry)| entry.is_retained);
        kept.map(|(id, _entry)| id.clone()).collect()
    }

    /// Returns the targets in order of their names.
    #[must_use]
    pub fn targets(&self) -> Vec<target::Target> {
        let entries = self.entries.values();
        entries.map(|entry| entry.target.clone()).collect()
    }
}

fn is_settled(reachable: StoreReach, now: instant::Instant) -> bool {
    match reachable {
        StoreReach::Always => true,
        StoreReach::Lost => false,
        StoreReach::Since(at) => now.since(at) >= RETURN_TIME,
    }
}
