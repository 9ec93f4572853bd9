//! Configuration state of one host: a replica of the records whose version never decreases.

use std::collections;

use crate::record;
use crate::unit;

/// Maximum number of recent changes that a host keeps to send to its peers.
pub const MAX_KEPT_CHANGES: usize = 256;

/// Effect of offering a change or a full set of records to the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The offered version is now in force.
    Applied,
    /// The offered version or a later one was already in force.
    AlreadyApplied,
    /// Versions in between are missing; a full read is needed.
    Gap,
}

/// The records in force on one host, with the most recent changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    version: unit::Version,
    newest_seen: Option<unit::Version>,
    documents: collections::BTreeMap<String, record::Document>,
    changes: collections::VecDeque<record::Change>,
}

impl State {
    /// Creates the state of a host that has not observed any version.
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

    /// Returns a record in force by its id.
    #[must_use]
    pub fn document(&self, id: &str) -> Option<&record::Document> {
        self.documents.get(id)
    }

    /// Records that a peer or the store has a version, applied here or not.
    pub fn observe_version(&mut self, version: unit::Version) {
        self.newest_seen = self.newest_seen.max(Some(version));
    }

    /// Returns whether the newest version that the host has observed is in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.newest_seen
            .is_some_and(|newest| self.version >= newest)
    }

    /// Applies a change if its version directly follows the one in force.
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
        self.remember(change);
        Effect::Applied
    }

    /// Replaces all records by those of a version, unless it or a later one is in force.
    ///
    /// The records must be a consistent read of exactly this version.
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

    /// Returns the changes after a version, or `None` when some are no longer kept.
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

    fn remember(&mut self, change: &record::Change) {
        self.changes.push_back(change.clone());
        if self.changes.len() > MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
    }
}
