//! The records in force on one host, whose version only rises.

use std::collections;

use crate::record;
use crate::unit;

/// Changes that a host keeps to pass to peers.
pub const MAX_KEPT_CHANGES: usize = 256;

/// What an offered version did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The version is in force now.
    Applied,
    /// The version or a later one was in force already.
    AlreadyApplied,
    /// Versions between are missing; a full read is needed.
    Gap,
}

/// The records in force on one host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    version: unit::Version,
    floor: Option<unit::Version>,
    documents: collections::BTreeMap<String, record::Document>,
    changes: collections::VecDeque<record::Change>,
}

impl State {
    /// Creates the state of a host that has heard of no version.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version in force.
    #[must_use]
    pub const fn version(&self) -> unit::Version {
        self.version
    }

    /// Returns the records in force.
    pub fn documents(&self) -> impl Iterator<Item = &record::Document> {
        self.documents.values()
    }

    /// Takes note that a peer or the store knows a version.
    pub fn observe_version(&mut self, version: unit::Version) {
        self.floor = self.floor.max(Some(version));
    }

    /// Returns whether the newest version that the host has heard of is in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.floor.is_some_and(|floor| self.version >= floor)
    }

    /// Puts one change in force if it is the next one.
    pub fn apply(&mut self, change: &record::Change) -> Effect {
        self.observe_version(change.version);
        if change.version <= self.version {
            return Effect::AlreadyApplied;
        }
        if change.version != self.version.next() {
            return Effect::Gap;
        }
        for id in &change.removed {
            self.documents.remove(id);
        }
        self.insert(&change.put);
        self.version = change.version;
        self.keep(change);
        Effect::Applied
    }

    /// Puts a whole set of records in force unless it is older.
    ///
    /// The set must have been read as it stood at exactly this version.
    pub fn replace(&mut self, version: unit::Version, documents: &[record::Document]) -> Effect {
        self.observe_version(version);
        if version <= self.version {
            return Effect::AlreadyApplied;
        }
        self.documents.clear();
        self.changes.clear();
        self.insert(documents);
        self.version = version;
        Effect::Applied
    }

    /// Returns the changes after a version, or nothing when some are not kept.
    #[must_use]
    pub fn changes_after(&self, version: unit::Version) -> Option<Vec<record::Change>> {
        if version >= self.version {
            return Some(Vec::new());
        }
        let first = self.changes.front()?.version;
        (first <= version.next()).then(|| {
            let later = self.changes.iter().filter(|c| c.version > version);
            later.cloned().collect()
        })
    }

    fn insert(&mut self, documents: &[record::Document]) {
        for document in documents {
            if let Some(id) = document.id() {
                self.documents.insert(id, document.clone());
            }
        }
    }

    fn keep(&mut self, change: &record::Change) {
        self.changes.push_back(change.clone());
        if self.changes.len() > MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
    }
}
