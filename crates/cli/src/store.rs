//! Store of the records on the platform, changed by conditional commits on the head row.

use std::collections;
use std::time;

use skylark_core::catalog;
use skylark_core::config;
use skylark_core::record;
use skylark_core::unit;
use skylark_wire::platform;

use super::error;
use super::random;

const HEAD_KEY: &str = "head";
const CHANGE_PREFIX: &str = "change/";
const RECORD_PREFIX: &str = "record/";
const MAX_SNAPSHOT_ATTEMPTS: u32 = 10;
const MAX_OUTCOME_ATTEMPTS: u32 = 10;
const OUTCOME_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Store of the records on one platform.
#[derive(Clone, Debug)]
pub struct Store<P> {
    platform: P,
}

/// All records of one version.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Newest version and the write that created it.
    pub head: record::Head,
    /// Version of the head row, 0 when the row does not exist.
    pub head_row: u64,
    /// Records by identity, such as `key/NAME`.
    pub records: collections::BTreeMap<String, record::Document>,
    /// Rows that cannot be parsed, by identity, with the reason; they count as absent.
    pub unreadable: collections::BTreeMap<String, String>,
}

/// Change to the records: those to put and the identities to remove.
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
            let current = document.id().and_then(|id| self.records.get(&id));
            current != Some(*document)
        };
        documents.iter().filter(is_changed).cloned().collect()
    }

    /// Adds a row of the platform.
    fn add(&mut self, row: &platform::Row) -> error::Result<()> {
        let schema = row.value.get("schema").and_then(serde_json::Value::as_u64);
        let newest = record::Document::NEWEST_SCHEMA;
        if schema.is_some_and(|schema| schema > u64::from(newest)) {
            let reason = format!(
                "row '{}' has a schema newer than {newest}: use a newer version of `skylark`",
                row.key
            );
            return Err(platform::Error::BadAnswer { reason }.into());
        }
        let id = row.key.trim_start_matches(RECORD_PREFIX).to_owned();
        match serde_json::from_value(row.value.clone()) {
            Ok(document) => {
                self.records.insert(id, document);
            }
            Err(error) => {
                self.unreadable.insert(id, error.to_string());
            }
        }
        Ok(())
    }

    /// Validates the records as an edit would leave them and returns their catalog.
    ///
    /// # Errors
    ///
    /// Fails when the records contradict each other, for example when a record refers to a
    /// name that no record describes.
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
    /// Fails when the platform does not answer, a record has a newer schema, or every attempt
    /// to read the records was overtaken by another change.
    pub async fn snapshot(&self) -> error::Result<Snapshot> {
        for _ in 0..MAX_SNAPSHOT_ATTEMPTS {
            let (head_row, head) = self.head().await?;
            let rows = self.platform.rows(RECORD_PREFIX).await?;
            if self.head().await?.0 == head_row {
                let mut snapshot = Snapshot {
                    head,
                    head_row,
                    ..Snapshot::default()
                };
                for row in &rows {
                    snapshot.add(row)?;
                }
                return Ok(snapshot);
            }
        }
        Err(error::Error::Conflict)
    }

    /// Commits an edit on top of a snapshot and returns the new version.
    ///
    /// # Errors
    ///
    /// Fails when the records would contradict each other, when another change was committed
    /// first, or when the outcome of the write remains unknown.
    pub async fn commit(&self, base: &Snapshot, edit: Edit) -> error::Result<unit::Version> {
        base.check(&edit)?;
        let head = record::Head {
            version: base.head.version.next(),
            write: random::write_id()?,
        };
        let write = config::Write::new(&head.write, base.head.version);
        let commit = build_commit(base.head_row, &head, edit)?;
        match self.platform.commit(&commit).await {
            Ok(()) => Ok(head.version),
            Err(platform::Error::NoAnswer { reason } | platform::Error::BadAnswer { reason }) => {
                self.resolve_outcome(&write, &reason).await
            }
            Err(platform::Error::Conflict { .. }) => self.resolve_conflict(&write).await,
            Err(other) => Err(other.into()),
        }
    }

    /// Returns the catalogs of the given versions, rebuilt from the log of changes.
    ///
    /// A version without a change row is left out.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or a change cannot be parsed.
    pub async fn catalogs(
        &self,
        versions: &collections::BTreeSet<unit::Version>,
    ) -> error::Result<collections::BTreeMap<unit::Version, catalog::Catalog>> {
        let rows = self.platform.rows(CHANGE_PREFIX).await?;
        let changes = rows.iter().map(parse_row::<record::Change>);
        let mut changes = changes.collect::<error::Result<Vec<_>>>()?;
        changes.sort_by_key(|change| change.version);
        let mut records = collections::BTreeMap::new();
        let mut catalogs = collections::BTreeMap::new();
        for change in changes {
            let version = change.version;
            apply_change(&mut records, change);
            if versions.contains(&version) {
                let documents: Vec<record::Document> = records.values().cloned().collect();
                catalogs.insert(version, catalog::Catalog::new(version, &documents)?);
            }
        }
        Ok(catalogs)
    }

    async fn head(&self) -> error::Result<(u64, record::Head)> {
        match self.platform.row(HEAD_KEY).await? {
            None => Ok((0, record::Head::default())),
            Some(row) => Ok((row.version, parse_row(&row)?)),
        }
    }

    /// Finds out from the change row whether a write without an answer took effect.
    async fn resolve_outcome(
        &self,
        write: &config::Write,
        reason: &str,
    ) -> error::Result<unit::Version> {
        for _ in 0..MAX_OUTCOME_ATTEMPTS {
            match self.outcome(write).await {
                Ok(config::WriteOutcome::Applied(version)) => return Ok(version),
                Ok(config::WriteOutcome::Conflict) => return Err(error::Error::Conflict),
                Ok(config::WriteOutcome::Unknown) | Err(_) => {
                    tokio::time::sleep(OUTCOME_RETRY_INTERVAL).await;
                }
            }
        }
        Err(error::Error::Indeterminate {
            version: write.version(),
            reason: reason.to_owned(),
        })
    }

    /// Distinguishes another operator's commit from a second delivery of this write.
    async fn resolve_conflict(&self, write: &config::Write) -> error::Result<unit::Version> {
        match self.outcome(write).await? {
            config::WriteOutcome::Applied(version) => Ok(version),
            config::WriteOutcome::Conflict | config::WriteOutcome::Unknown => {
                Err(error::Error::Conflict)
            }
        }
    }

    async fn outcome(&self, write: &config::Write) -> error::Result<config::WriteOutcome> {
        let row = self.platform.row(&change_key(write.version())).await?;
        let change: Option<record::Change> = row.as_ref().map(parse_row).transpose()?;
        Ok(write.outcome(change.as_ref()))
    }
}

fn build_commit(head_row: u64, head: &record::Head, edit: Edit) -> error::Result<platform::Commit> {
    let mut writes = Vec::new();
    for document in &edit.put {
        if let Some(id) = document.id() {
            writes.push(write_row(format!("{RECORD_PREFIX}{id}"), document)?);
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
    writes.push(write_row(change_key(head.version), &change)?);
    writes.push(write_row(HEAD_KEY.to_owned(), head)?);
    let condition = platform::Condition {
        key: HEAD_KEY.to_owned(),
        version: head_row,
    };
    Ok(platform::Commit {
        conditions: vec![condition],
        writes,
    })
}

fn change_key(version: unit::Version) -> String {
    format!("{CHANGE_PREFIX}{version}")
}

/// Applies a change to the records of the version before it.
fn apply_change(
    records: &mut collections::BTreeMap<String, record::Document>,
    change: record::Change,
) {
    for document in change.put {
        if let Some(id) = document.id() {
            records.insert(id, document);
        }
    }
    for id in &change.removed {
        records.remove(id);
    }
}

fn write_row<T: serde::Serialize>(key: String, value: &T) -> error::Result<platform::Write> {
    Ok(platform::Write {
        key,
        value: Some(serde_json::to_value(value)?),
    })
}

fn parse_row<T: serde::de::DeserializeOwned>(row: &platform::Row) -> error::Result<T> {
    serde_json::from_value(row.value.clone()).map_err(|error| {
        platform::Error::BadAnswer {
            reason: format!("row '{}' cannot be parsed: {error}", row.key),
        }
        .into()
    })
}
