//! In-memory state of the stand-in platform.

use std::collections;

use skylark_wire::platform;

use super::fault;

/// Rows, objects, host list, injected faults and call counters.
#[derive(Debug, Default)]
pub struct Store {
    /// Injected faults.
    pub faults: fault::Faults,
    /// Entries that the host list returns, set by tests.
    pub hosts: Vec<platform::HostEntry>,
    /// Calls applied since the start.
    pub counts: Counts,
    contents: Contents,
    copy: Option<Contents>,
    restores: u64,
}

/// Rows and objects.
#[derive(Clone, Debug, Default)]
struct Contents {
    rows: collections::BTreeMap<String, platform::Row>,
    objects: collections::BTreeMap<String, Vec<u8>>,
}

/// Numbers of calls applied since the start.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Serialize)]
pub struct Counts {
    /// Reads of rows and objects, and listings of objects.
    pub reads: u64,
    /// Transactions, also failed ones, and stored objects.
    pub writes: u64,
}

impl Store {
    /// Keeps a copy of the rows and objects in place of the last one.
    pub fn keep_copy(&mut self) {
        self.copy = Some(self.contents.clone());
    }

    /// Brings the rows and objects back from the copy; returns whether there is one.
    ///
    /// Versions of rows go back, and are given out again.
    pub fn restore(&mut self) -> bool {
        let Some(copy) = &self.copy else {
            return false;
        };
        self.contents.clone_from(copy);
        self.restores += 1;
        true
    }

    /// Returns the era of the contents, which rises with each restored copy, from 1.
    #[must_use]
    pub const fn era(&self) -> u64 {
        self.restores + 1
    }

    /// Returns one row.
    pub fn row(&mut self, key: &str) -> Option<platform::Row> {
        self.counts.reads += 1;
        self.contents.rows.get(key).cloned()
    }

    /// Returns all rows whose key starts with a prefix, in order of their keys.
    pub fn rows(&mut self, prefix: &str) -> Vec<platform::Row> {
        self.counts.reads += 1;
        let entries = self.contents.rows.range(prefix.to_owned()..);
        entries
            .take_while(|(key, _row)| key.starts_with(prefix))
            .map(|(_key, row)| row.clone())
            .collect()
    }

    /// Commits a transaction if the version of each row in its conditions matches.
    ///
    /// # Errors
    ///
    /// Returns the key of the first condition that does not hold; nothing is written then.
    pub fn commit(&mut self, commit: platform::Commit) -> Result<(), String> {
        self.counts.writes += 1;
        for condition in &commit.conditions {
            let version = self
                .contents
                .rows
                .get(&condition.key)
                .map_or(0, |row| row.version);
            if version != condition.version {
                return Err(condition.key.clone());
            }
        }
        for write in commit.writes {
            self.write(write);
        }
        Ok(())
    }

    fn write(&mut self, write: platform::Write) {
        let Some(value) = write.value else {
            self.contents.rows.remove(&write.key);
            return;
        };
        let version = self
            .contents
            .rows
            .get(&write.key)
            .map_or(0, |row| row.version)
            + 1;
        let row = platform::Row {
            key: write.key.clone(),
            version,
            value,
        };
        self.contents.rows.insert(write.key, row);
    }

    /// Stores an object, replacing one with the same key.
    pub fn put(&mut self, key: &str, body: Vec<u8>) {
        self.counts.writes += 1;
        self.contents.objects.insert(key.to_owned(), body);
    }

    /// Returns an object.
    pub fn get(&mut self, key: &str) -> Option<Vec<u8>> {
        self.counts.reads += 1;
        self.contents.objects.get(key).cloned()
    }

    /// Returns the keys of objects that start with a prefix, in order.
    pub fn list(&mut self, prefix: &str) -> Vec<String> {
        self.counts.reads += 1;
        let entries = self.contents.objects.range(prefix.to_owned()..);
        entries
            .take_while(|(key, _body)| key.starts_with(prefix))
            .map(|(key, _body)| key.clone())
            .collect()
    }
}
