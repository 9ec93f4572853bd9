//! The records as the platform holds them, and changes to them.

use std::collections;
use std::time;

use skylark_core::catalog;
use skylark_core::config;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::platform;

use super::error;
use super::random;

const HEAD: &str = "head";
const CHANGE_PREFIX: &str = "change/";
const RECORD_PREFIX: &str = "record/";
const READ_TRIES: u32 = 10;
const READ_BACK_TRIES: u32 = 10;
const READ_BACK_PAUSE: time::Duration = time::Duration::from_millis(300);

/// The records on a platform.
#[derive(Clone, Debug)]
pub struct Store<P> {
    platform: P,
}

/// All records of one version.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The newest version.
    pub head: record::Head,
    /// Version of the head's row, 0 when it is absent.
    pub row: u64,
    /// The records by identity.
    pub records: collections::BTreeMap<String, record::Document>,
}

/// Records to put and identities to remove.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Edit {
    /// Records to put.
    pub put: Vec<record::Document>,
    /// Identities of records to remove.
    pub removed: Vec<String>,
}

impl Edit {
    /// Returns whether the edit changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.removed.is_empty()
    }
}

impl Snapshot {
    /// Returns the records that differ from those in the snapshot.
    #[must_use]
    pub fn changed(&self, documents: &[record::Document]) -> Vec<record::Document> {
        let is_changed = |document: &&record::Document| {
            let known = document.id().and_then(|id| self.records.get(&id));
            known != Some(*document)
        };
        documents.iter().filter(is_changed).cloned().collect()
    }

    /// Checks the records as they would be after an edit.
    ///
    /// # Errors
    ///
    /// Fails when a record would name what no record describes.
    pub fn check(&self, edit: &Edit) -> error::Result<catalog::Catalog> {
        let mut records = self.records.clone();
        for document in &edit.put {
            if let Some(id) = document.id() {
                records.insert(id, document.clone());
            }
        }
        for id in &edit.removed {
            records.remove(id);
        }
        let documents: Vec<record::Document> = records.into_values().collect();
        Ok(catalog::Catalog::new(self.head.version.next(), &documents)?)
    }
}

impl<P: platform::Platform> Store<P> {
    /// Creates a store on a platform.
    #[must_use]
    pub const fn new(platform: P) -> Self {
        Self { platform }
    }

    /// Reads all records of the newest version.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer, or changes keep coming while it is read.
    pub async fn snapshot(&self) -> error::Result<Snapshot> {
        for _ in 0..READ_TRIES {
            let (row, head) = self.head().await?;
            let rows = self.platform.rows(RECORD_PREFIX).await?;
            if self.head().await?.0 == row {
                let records = rows.iter().map(read_record);
                return Ok(Snapshot {
                    head,
                    row,
                    records: records.collect::<error::Result<_>>()?,
                });
            }
        }
        Err(error::Error::Conflict)
    }

    /// Commits an edit on top of a snapshot and returns the version that it made.
    ///
    /// # Errors
    ///
    /// Fails when the records would contradict each other, when another change came
    /// first, or when the platform does not tell whether the edit was accepted.
    pub async fn commit(&self, base: &Snapshot, edit: Edit) -> error::Result<unit::Version> {
        base.check(&edit)?;
        let head = record::Head {
            version: base.head.version.next(),
            write: random::write_id()?,
        };
        let write = config::Write::new(&head.write, base.head.version);
        let commit = form(base.row, &head, edit)?;
        match self.platform.commit(&commit).await {
            Ok(()) => Ok(head.version),
            Err(platform::Error::NoAnswer { reason } | platform::Error::BadAnswer { reason }) => {
                self.read_back(&write, &reason).await
            }
            Err(platform::Error::Conflict { .. }) => self.read_back_conflict(&write).await,
            Err(other) => Err(other.into()),
        }
    }

    /// Returns the catalogs of the given versions, rebuilt from the changes.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or its changes cannot be read.
    pub async fn catalogs(
        &self,
        versions: &collections::BTreeSet<unit::Version>,
    ) -> error::Result<collections::BTreeMap<unit::Version, catalog::Catalog>> {
        let rows = self.platform.rows(CHANGE_PREFIX).await?;
        let changes = rows.iter().map(read::<record::Change>);
        let mut changes = changes.collect::<error::Result<Vec<_>>>()?;
        changes.sort_by_key(|change| change.version);
        let mut records = collections::BTreeMap::new();
        let mut catalogs = collections::BTreeMap::new();
        for change in changes {
            let version = change.version;
            play(&mut records, change);
            if versions.contains(&version) {
                let documents: Vec<record::Document> = records.values().cloned().collect();
                catalogs.insert(version, catalog::Catalog::new(version, &documents)?);
            }
        }
        Ok(catalogs)
    }

    async fn head(&self) -> error::Result<(u64, record::Head)> {
        match self.platform.row(HEAD).await? {
            None => Ok((0, record::Head::default())),
            Some(row) => Ok((row.version, read(&row)?)),
        }
    }

    /// Learns from the change's row whether a write without an answer took effect.
    async fn read_back(&self, write: &config::Write, reason: &str) -> error::Result<unit::Version> {
        for _ in 0..READ_BACK_TRIES {
            match self.fate(write).await {
                Ok(config::WriteOutcome::Applied(version)) => return Ok(version),
                Ok(config::WriteOutcome::Conflict) => return Err(error::Error::Conflict),
                Ok(config::WriteOutcome::Unknown) | Err(_) => {
                    tokio::time::sleep(READ_BACK_PAUSE).await;
                }
            }
        }
        Err(error::Error::Unknown {
            version: write.version(),
            reason: reason.to_owned(),
        })
    }

    /// Tells a lost race from a write that was delivered twice.
    async fn read_back_conflict(&self, write: &config::Write) -> error::Result<unit::Version> {
        match self.fate(write).await? {
            config::WriteOutcome::Applied(version) => Ok(version),
            config::WriteOutcome::Conflict | config::WriteOutcome::Unknown => {
                Err(error::Error::Conflict)
            }
        }
    }

    async fn fate(&self, write: &config::Write) -> error::Result<config::WriteOutcome> {
        let row = self.platform.row(&change_key(write.version())).await?;
        let change: Option<record::Change> = row.as_ref().map(read).transpose()?;
        Ok(write.outcome(change.as_ref()))
    }
}

fn form(row: u64, head: &record::Head, edit: Edit) -> error::Result<platform::Commit> {
    let mut writes = Vec::new();
    for document in &edit.put {
        if let Some(id) = document.id() {
            writes.push(write(format!("{RECORD_PREFIX}{id}"), document)?);
        }
    }
    for id in &edit.removed {
        writes.push(platform::Write {
            key: format!("{RECORD_PREFIX}{id}"),
            value: None,
        });
    }
    let change = record::Change {
        version: head.version,
        write: head.write.clone(),
        put: edit.put,
        removed: edit.removed,
    };
    writes.push(write(change_key(head.version), &change)?);
    writes.push(write(HEAD.to_owned(), head)?);
    let condition = platform::Condition {
        key: HEAD.to_owned(),
        version: row,
    };
    Ok(platform::Commit {
        conditions: vec![condition],
        writes,
    })
}

fn change_key(version: unit::Version) -> String {
    format!("{CHANGE_PREFIX}{version}")
}

/// Puts a change on top of the records before it.
fn play(records: &mut collections::BTreeMap<String, record::Document>, change: record::Change) {
    for document in change.put {
        if let Some(id) = document.id() {
            records.insert(id, document);
        }
    }
    for id in &change.removed {
        records.remove(id);
    }
}

fn write<T: serde::Serialize>(key: String, value: &T) -> error::Result<platform::Write> {
    Ok(platform::Write {
        key,
        value: Some(serde_json::to_value(value)?),
    })
}

fn read<T: serde::de::DeserializeOwned>(row: &platform::Row) -> error::Result<T> {
    serde_json::from_value(row.value.clone()).map_err(|error| {
        platform::Error::BadAnswer {
            reason: format!("row '{}': {error}", row.key),
        }
        .into()
    })
}

fn read_record(row: &platform::Row) -> error::Result<(String, record::Document)> {
    let schema = row.value.get("schema").and_then(serde_json::Value::as_u64);
    let newest = record::Document::NEWEST_SCHEMA;
    if schema.is_some_and(|schema| schema > u64::from(newest)) {
        let reason = format!(
            "row '{}' is of a schema newer than {newest}: use a newer `skylark`",
            row.key
        );
        return Err(platform::Error::BadAnswer { reason }.into());
    }
    let id = row.key.trim_start_matches(RECORD_PREFIX).to_owned();
    Ok((id, read(row)?))
}
