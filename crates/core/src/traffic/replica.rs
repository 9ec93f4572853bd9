//! A copy of one table of the store that never steps back.

use std::collections;

/// Removed rows that are remembered at most, for hosts that ask what changed.
const MOST_REMOVED: usize = 1_024;

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version of the transaction that wrote or removed it.
    pub version: u64,
    /// Its bytes, none where it was removed.
    pub value: Option<Vec<u8>>,
}

/// A copy of one table, from the store or from another host.
///
/// It answers readers that are late: an older copy, a feed that begins again
/// and rows that come twice change nothing.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    version: u64,
    /// Version of the newest change that is known.
    newest_change: u64,
    rows: collections::BTreeMap<String, Row>,
    /// Version up to which each removed row is known to be gone.
    removals: collections::BTreeMap<String, u64>,
    /// Version from which on every removal is remembered.
    removals_since: u64,
}

/// What a copy has that an older one lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Changes {
    /// The rows that changed since, those that were removed without a value.
    Delta(Vec<Row>),
    /// Every row, as older removals are not remembered.
    Snapshot(Vec<Row>),
}

impl Replica {
    /// Returns the version up to which the copy is whole, 0 before the first one.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the version of the newest change that is known, which other hosts need as well.
    #[must_use]
    pub const fn newest_change(&self) -> u64 {
        self.newest_change
    }

    /// Returns the rows in order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Returns what changed after a version of this table.
    #[must_use]
    pub fn changes_since(&self, after: u64) -> Changes {
        if after == 0 || after < self.removals_since {
            return Changes::Snapshot(self.rows.values().cloned().collect());
        }
        let changed = self.rows.values().filter(|row| row.version > after);
        let removed = self.removals.iter().filter(|(_key, at)| **at > after);
        let removed = removed.map(|(key, at)| Row {
            key: key.clone(),
            version: *at,
            value: None,
        });
        Changes::Delta(changed.cloned().chain(removed).collect())
    }

    /// Takes in changes up to a version; returns those that are news.
    pub fn apply_changes(&mut self, rows: Vec<Row>, version: u64) -> Vec<Row> {
        let news: Vec<Row> = rows
            .into_iter()
            .filter(|row| row.version > self.version)
            .collect();
        for row in &news {
            if row.value.is_some() {
                self.rows.insert(row.key.clone(), row.clone());
            } else {
                self.rows.remove(&row.key);
            }
        }
        self.record_removals(&news);
        if self.version == 0 {
            self.removals_since = version;
        }
        self.version = self.version.max(version);
        news
    }

    /// Takes in a whole copy at a version; returns the changes, none from an older copy.
    pub fn apply_snapshot(&mut self, rows: Vec<Row>, version: u64) -> Vec<Row> {
        if version < self.version {
            return Vec::new();
        }
        let fresh: collections::BTreeMap<String, Row> =
            rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        let is_gone = |key: &&String| !fresh.contains_key(*key);
        let gone = self.rows.keys().filter(is_gone).map(|key| Row {
            key: key.clone(),
            version,
            value: None,
        });
        let known =
            |row: &&Row| self.rows.get(&row.key).map(|old| old.version) != Some(row.version);
        let news: Vec<Row> = gone.chain(fresh.values().filter(known).cloned()).collect();
        self.record_removals(&news);
        self.rows = fresh;
        if self.version == 0 {
            self.removals_since = version;
        }
        self.version = version;
        news
    }

    /// Remembers which rows were removed, and forgets the oldest removals beyond the bound.
    fn record_removals(&mut self, news: &[Row]) {
        for row in news {
            self.newest_change = self.newest_change.max(row.version);
            if row.value.is_some() {
                self.removals.remove(&row.key);
            } else {
                self.removals.insert(row.key.clone(), row.version);
            }
        }
        while self.removals.len() > MOST_REMOVED {
            let oldest = self.removals.iter().min_by_key(|(_key, at)| **at);
            let Some((key, at)) = oldest.map(|(key, at)| (key.clone(), *at)) else {
                return;
            };
            self.removals.remove(&key);
            self.removals_since = self.removals_since.max(at);
        }
    }
}
