//! The stand-in platform's memory.

use std::collections;

use skylark_wire::platform;

use super::fault;

/// Everything that the stand-in platform keeps.
#[derive(Debug, Default)]
pub struct Store {
    /// Faults in force.
    pub faults: fault::Faults,
    /// Hosts as the list shows them.
    pub hosts: Vec<platform::HostEntry>,
    /// Calls that were answered.
    pub counts: Counts,
    rows: collections::BTreeMap<String, platform::Row>,
    objects: collections::BTreeMap<String, Vec<u8>>,
}

/// Calls that were answered since the start.
#[derive(Clone, Copy, Debug, Default)]
#[derive(serde::Serialize)]
pub struct Counts {
    /// Reads of rows, objects and lists.
    pub reads: u64,
    /// Transactions and stored objects.
    pub writes: u64,
}

impl Store {
    /// Reads one row.
    pub fn row(&mut self, key: &str) -> Option<platform::Row> {
        self.counts.reads += 1;
        self.rows.get(key).cloned()
    }

    /// Reads all rows whose key starts with a prefix.
    pub fn rows(&mut self, prefix: &str) -> Vec<platform::Row> {
        self.counts.reads += 1;
        let from = self.rows.range(prefix.to_owned()..);
        from.take_while(|(key, _row)| key.starts_with(prefix))
            .map(|(_key, row)| row.clone())
            .collect()
    }

    /// Commits a transaction, or returns the key whose condition does not hold.
    pub fn commit(&mut self, commit: platform::Commit) -> Result<(), String> {
        self.counts.writes += 1;
        for condition in &commit.conditions {
            let version = self.rows.get(&condition.key).map_or(0, |row| row.version);
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
            self.rows.remove(&write.key);
            return;
        };
        let version = self.rows.get(&write.key).map_or(0, |row| row.version) + 1;
        let row = platform::Row {
            key: write.key.clone(),
            version,
            value,
        };
        self.rows.insert(write.key, row);
    }

    /// Stores an object.
    pub fn put(&mut self, key: &str, body: Vec<u8>) {
        self.counts.writes += 1;
        self.objects.insert(key.to_owned(), body);
    }

    /// Reads an object.
    pub fn get(&mut self, key: &str) -> Option<Vec<u8>> {
        self.counts.reads += 1;
        self.objects.get(key).cloned()
    }

    /// Lists the keys of objects that start with a prefix.
    pub fn list(&mut self, prefix: &str) -> Vec<String> {
        self.counts.reads += 1;
        let from = self.objects.range(prefix.to_owned()..);
        from.take_while(|(key, _body)| key.starts_with(prefix))
            .map(|(key, _body)| key.clone())
            .collect()
    }
}
