//! The records as the platform holds them, and changes to them.

use std::collections;
use std::time;

use skylark_core::catalog;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::platform;

use super::error;
use super::random;

const HEAD: &str = "head";
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
        let commit = form(base.row, &head, edit)?;
        match self.platform.commit(&commit).await {
            Ok(()) => Ok(head.version),
            Err(platform::Error::NoAnswer { reason } | platform::Error::BadAnswer { reason }) => {
                self.read_back(&head, &reason).await
            }
            Err(platform::Error::Conflict { .. }) => self.read_back_conflict(&head).await,
            Err(other) => Err(other.into()),
        }
    }

    async fn head(&self) -> error::Result<(u64, record::Head)> {
        match self.platform.row(HEAD).await? {
            None => Ok((0, record::Head::default())),
            Some(row) => Ok((row.version, read(&row)?)),
        }
    }

    /// Learns from the change's row whether a write without an answer took effect.
    async fn read_back(&self, head: &record::Head, reason: &str) -> error::Result<unit::Version> {
        for _ in 0..READ_BACK_TRIES {
            match self.writer(head.version).await {
                Ok(Some(write)) if write == head.write => return Ok(head.version),
                Ok(Some(_other)) => return Err(error::Error::Conflict),
                Ok(None) | Err(_) => tokio::time::sleep(READ_BACK_PAUSE).await,
            }
        }
        Err(error::Error::Unknown {
            version: head.version,
            reason: reason.to_owned(),
        })
    }

    /// Tells a lost race from a write that was delivered twice.
    async fn read_back_conflict(&self, head: &record::Head) -> error::Result<unit::Version> {
        match self.writer(head.version).await? {
            Some(write) if write == head.write => Ok(head.version),
            _ => Err(error::Error::Conflict),
        }
    }

    async fn writer(&self, version: unit::Version) -> error::Result<Option<String>> {
        let row = self.platform.row(&change_key(version)).await?;
        let change: Option<record::Change> = row.as_ref().map(read).transpose()?;
        Ok(change.map(|change| change.write))
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
    format!("change/{version}")
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
    let id = row.key.trim_start_matches(RECORD_PREFIX).to_owned();
    Ok((id, read(row)?))
}
