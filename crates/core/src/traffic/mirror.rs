//! A copy of one table of the store that never steps back.

use std::collections;

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
pub struct Mirror {
    version: u64,
    rows: collections::BTreeMap<String, Row>,
}

impl Mirror {
    /// Returns the version up to which the copy is whole, 0 before the first one.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the rows in order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Takes in changes up to a version; returns those that are news.
    pub fn change(&mut self, rows: Vec<Row>, version: u64) -> Vec<Row> {
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
        self.version = self.version.max(version);
        news
    }

    /// Takes in a whole copy at a version; returns the changes, none from an older copy.
    pub fn replace(&mut self, rows: Vec<Row>, version: u64) -> Vec<Row> {
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
        self.rows = fresh;
        self.version = version;
        news
    }
}
