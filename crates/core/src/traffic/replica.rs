//! A replica of one table of the store whose position never decreases.

use std::collections;

use super::position;

/// Largest number of remembered removals, which deltas for other hosts contain.
const MAX_REMOVALS: usize = 1_024;

/// A row of a table, or its removal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Position of the transaction that wrote or removed the row.
    pub version: position::Position,
    /// Value of the row; `None` if it was removed.
    pub value: Option<Vec<u8>>,
}

/// A replica of one table, read from the store or from another host.
///
/// Late input has no effect: an older snapshot, rows that a restarted feed sends again and
/// repeated rows are ignored.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    version: position::Position,
    /// Position of the newest known change.
    newest_change: position::Position,
    rows: collections::BTreeMap<String, Row>,
    /// Position at which each removed row was removed.
    removals: collections::BTreeMap<String, position::Position>,
    /// Position after which every removal is remembered, but for the gap.
    removals_since: position::Position,
    /// Positions between which the last snapshot skipped changes. Rows that came and went there
    /// were never known here.
    gap: (position::Position, position::Position),
}

/// The changes that bring an older replica up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Changes {
    /// The rows that changed since; removed ones have no value.
    Delta(Vec<Row>),
    /// All rows, because older removals are not remembered.
    Snapshot(Vec<Row>),
}

impl Replica {
    /// Returns the position up to which the replica is complete; zero before the first snapshot.
    #[must_use]
    pub const fn version(&self) -> position::Position {
        self.version
    }

    /// Returns the position of the newest known change, which other hosts need as well.
    #[must_use]
    pub const fn newest_change(&self) -> position::Position {
        self.newest_change
    }

    /// Returns a row.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Sets the value of a row whose newest content the store has lost; its position stays.
    pub fn keep(&mut self, key: &str, value: Vec<u8>) {
        let version = self.rows.get(key).map_or(self.version, |row| row.version);
        let row = Row {
            key: key.to_owned(),
            version,
            value: Some(value),
        };
        self.rows.insert(row.key.clone(), row);
        self.removals.remove(key);
    }

    /// Returns the rows in order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Returns the changes after a position of this table.
    ///
    /// A replica of an earlier epoch may hold rows of which this one never knew, so it gets all.
    #[must_use]
    pub fn changes_since(&self, after: position::Position) -> Changes {
        let is_earlier_epoch = after.epoch() < self.version.epoch();
        let is_in_gap = after > self.gap.0 && after < self.gap.1;
        if after.is_zero() || after < self.removals_since || is_earlier_epoch || is_in_gap {
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

    /// Applies changes up to a position; returns those that were not known.
    ///
    /// Changes of a newer epoch are ignored: only a snapshot tells what the store lost.
    pub fn apply_changes(&mut self, rows: Vec<Row>, version: position::Position) -> Vec<Row> {
        if !self.version.is_zero() && version.epoch() > self.version.epoch() {
            return Vec::new();
        }
        let applied: Vec<Row> = rows
            .into_iter()
            .filter(|row| row.version > self.version)
            .collect();
        for row in &applied {
            if row.value.is_some() {
                self.rows.insert(row.key.clone(), row.clone());
            } else {
                self.rows.remove(&row.key);
            }
        }
        self.record_removals(&applied);
        if self.version.is_zero() {
            self.removals_since = version;
        }
        self.version = self.version.max(version);
        applied
    }

    /// Applies a snapshot at a position; returns the changes, none for an older snapshot.
    pub fn apply_snapshot(&mut self, rows: Vec<Row>, version: position::Position) -> Vec<Row> {
        if version < self.version {
            return Vec::new();
        }
        let snapshot: collections::BTreeMap<String, Row> =
            rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        let is_removed = |key: &&String| !snapshot.contains_key(*key);
        let dropped = self.rows.keys().filter(is_removed).map(|key| Row {
            key: key.clone(),
            version,
            value: None,
        });
        let is_unknown = |row: &&Row| self.rows.get(&row.key) != Some(*row);
        let applied: Vec<Row> = dropped
            .chain(snapshot.values().filter(is_unknown).cloned())
            .collect();
        self.record_removals(&applied);
        self.rows = snapshot;
        if self.version.is_zero() {
            self.removals_since = version;
        } else if self.version < version {
            self.gap = (self.version, version);
        }
        self.version = version;
        applied
    }

    /// Remembers removed rows, and forgets the oldest beyond [`MAX_REMOVALS`].
    fn record_removals(&mut self, applied: &[Row]) {
        for row in applied {
            self.newest_change = self.newest_change.max(row.version);
            if row.value.is_some() {
                self.removals.remove(&row.key);
            } else {
                self.removals.insert(row.key.clone(), row.version);
            }
        }
        while self.removals.len() > MAX_REMOVALS {
            let oldest = self.removals.iter().min_by_key(|(_key, at)| **at);
            let Some((key, at)) = oldest.map(|(key, at)| (key.clone(), *at)) else {
                return;
            };
            self.removals.remove(&key);
            self.removals_since = self.removals_since.max(at);
        }
    }
}
