//! Reading files of records, all faults at once.

use std::collections;
use std::fmt;
use std::fs;
use std::path;

use skylark_core::catalog;
use skylark_core::record;

use super::error;

/// A fault with the name of its file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Fault {
    /// Name of the file.
    pub file: String,
    /// The fault.
    #[serde(flatten)]
    pub fault: record::Diagnostic,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let record::Diagnostic {
            line,
            field,
            reason,
        } = &self.fault;
        write!(f, "{}:{line}: {field}: {reason}", self.file)
    }
}

/// A record with its place in a file.
#[derive(Clone, Debug)]
struct Origin {
    file: String,
    source: record::Located,
}

/// Records of files, each good by itself.
#[derive(Clone, Debug, Default)]
pub struct Files {
    origins: Vec<Origin>,
    mended: Vec<record::Document>,
    faults: Vec<Fault>,
}

impl Files {
    /// Reads files of records.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read; refused records are kept for [`Self::documents`].
    pub fn new(names: &[path::PathBuf]) -> error::Result<Self> {
        if names.is_empty() {
            return Err(error::Error::Usage("name at least one file".to_owned()));
        }
        let mut files = Self::default();
        for name in names {
            let file = name.display().to_string();
            match fs::read_to_string(name) {
                Ok(text) => files.read(&file, &text),
                Err(source) => return Err(error::Error::File { file, source }),
            }
        }
        Ok(files)
    }

    fn read(&mut self, file: &str, text: &str) {
        let read = record::parse_with_recovery(text);
        self.origins
            .extend(read.located.into_iter().map(|source| Origin {
                file: file.to_owned(),
                source,
            }));
        self.mended.extend(read.repaired);
        self.faults
            .extend(read.diagnostics.into_iter().map(|fault| Fault {
                file: file.to_owned(),
                fault,
            }));
    }

    /// Returns the records, checked together with others that stay as they are.
    ///
    /// # Errors
    ///
    /// Fails with every fault of every file when any record is refused.
    pub fn documents<'a, I>(&self, others: I) -> error::Result<Vec<record::Document>>
    where
        I: Iterator<Item = &'a record::Document>,
    {
        let documents: Vec<record::Document> = self
            .origins
            .iter()
            .map(|origin| origin.source.document.clone())
            .collect();
        let ids: collections::BTreeSet<String> =
            documents.iter().filter_map(record::Document::id).collect();
        let kept = others
            .filter(|other| other.id().is_none_or(|id| !ids.contains(&id)))
            .cloned();
        let good = documents.iter().cloned().chain(kept);
        let all: Vec<record::Document> = good.chain(self.mended.iter().cloned()).collect();
        let mut faults = self.faults.clone();
        let flaws = catalog::violations(&all);
        faults.extend(flaws.into_iter().filter_map(|flaw| self.place(flaw)));
        if faults.is_empty() {
            return Ok(documents);
        }
        Err(error::Error::Records { faults })
    }

    /// Finds the place of a flaw, unless it may come from a fault that is reported already.
    fn place(&self, flaw: record::Violation) -> Option<Fault> {
        let is_unsure = self
            .faults
            .iter()
            .any(|known| hides_names(&known.fault.field));
        if is_unsure && flaw.cause == record::Cause::Dangling {
            return None;
        }
        let mended = self.mended.iter().filter_map(record::Document::id);
        if mended.into_iter().any(|id| id == flaw.record) {
            return None;
        }
        let mut of_record = self
            .origins
            .iter()
            .filter(|origin| origin.source.document.id().as_deref() == Some(flaw.record.as_str()));
        let origin = match flaw.cause {
            record::Cause::Duplicate => of_record.next_back(),
            _ => of_record.next(),
        };
        let (file, line) = match origin {
            Some(origin) => (origin.file.clone(), origin.source.line(&flaw.field)),
            None => (format!("record {}", flaw.record), 0),
        };
        Some(Fault {
            file,
            fault: record::Diagnostic {
                line,
                field: flaw.field,
                reason: flaw.reason,
            },
        })
    }
}

/// Returns whether a fault of a field hides names that other records may use.
fn hides_names(field: &str) -> bool {
    let last = field.rsplit('.').next();
    last == Some("name") || last == Some("document") || field.starts_with("region.zones")
}
