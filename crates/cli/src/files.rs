//! Files of records: reads them and reports all of their errors at once.

use std::collections;
use std::fmt;
use std::fs;
use std::path;

use skylark_core::catalog;
use skylark_core::record;

use super::error;

/// Error in a record, with the name of its file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Diagnostic {
    /// Name of the file.
    pub file: String,
    /// Line, field and reason.
    #[serde(flatten)]
    pub diagnostic: record::Diagnostic,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let record::Diagnostic {
            line,
            field,
            reason,
        } = &self.diagnostic;
        write!(f, "{}:{line}: {field}: {reason}", self.file)
    }
}

/// Record with its file and its lines there.
#[derive(Clone, Debug)]
struct Origin {
    file: String,
    located: record::Located,
}

/// Records read from files, each of which is valid by itself.
#[derive(Clone, Debug, Default)]
pub struct Files {
    origins: Vec<Origin>,
    repaired: Vec<record::Document>,
    diagnostics: Vec<Diagnostic>,
}

impl Files {
    /// Reads files of records.
    ///
    /// # Errors
    ///
    /// Fails when no file is named or a file cannot be read. Invalid records are reported
    /// by [`Self::documents`].
    pub fn new(names: &[path::PathBuf]) -> error::Result<Self> {
        if names.is_empty() {
            return Err(error::Error::Usage(
                "no file was given: name at least one file of records".to_owned(),
            ));
        }
        let mut files = Self::default();
        for name in names {
            let file = name.display().to_string();
            match fs::read_to_string(name) {
                Ok(text) => files.parse(&file, &text),
                Err(source) => return Err(error::Error::File { file, source }),
            }
        }
        Ok(files)
    }

    fn parse(&mut self, file: &str, text: &str) {
        let parsed = record::parse_with_recovery(text);
        self.origins
            .extend(parsed.located.into_iter().map(|located| Origin {
                file: file.to_owned(),
                located,
            }));
        self.repaired.extend(parsed.repaired);
        self.diagnostics
            .extend(parsed.diagnostics.into_iter().map(|diagnostic| Diagnostic {
                file: file.to_owned(),
                diagnostic,
            }));
    }

    /// Returns the records, validated together with the other records on the platform.
    ///
    /// Records of the files replace other records with the same identity.
    ///
    /// # Errors
    ///
    /// Fails with the diagnostics of all files when any record is invalid.
    pub fn documents<'a, I>(&self, others: I) -> error::Result<Vec<record::Document>>
    where
        I: Iterator<Item = &'a record::Document>,
    {
        let documents: Vec<record::Document> = self
            .origins
            .iter()
            .map(|origin| origin.located.document.clone())
            .collect();
        let ids: collections::BTreeSet<String> =
            documents.iter().filter_map(record::Document::id).collect();
        let kept = others
            .filter(|other| other.id().is_none_or(|id| !ids.contains(&id)))
            .cloned();
        let valid = documents.iter().cloned().chain(kept);
        let all: Vec<record::Document> = valid.chain(self.repaired.iter().cloned()).collect();
        let mut diagnostics = self.diagnostics.clone();
        let violations = catalog::violations(&all);
        diagnostics.extend(
            violations
                .into_iter()
                .filter_map(|violation| self.locate(violation)),
        );
        if diagnostics.is_empty() {
            return Ok(documents);
        }
        Err(error::Error::Records { diagnostics })
    }

    /// Locates a violation in its file, unless an error already reported may have caused it.
    ///
    /// A name that could not be parsed makes references to it look dangling, and a repaired
    /// record may violate rules that its original text did not.
    fn locate(&self, violation: record::Violation) -> Option<Diagnostic> {
        let has_hidden_names = self
            .diagnostics
            .iter()
            .any(|known| hides_names(&known.diagnostic.field));
        if has_hidden_names && violation.cause == record::Cause::Dangling {
            return None;
        }
        let repaired = self.repaired.iter().filter_map(record::Document::id);
        if repaired.into_iter().any(|id| id == violation.record) {
            return None;
        }
        let mut candidates = self.origins.iter().filter(|origin| {
            origin.located.document.id().as_deref() == Some(violation.record.as_str())
        });
        let origin = match violation.cause {
            record::Cause::Duplicate => candidates.next_back(),
            _ => candidates.next(),
        };
        let (file, line) = match origin {
            Some(origin) => (origin.file.clone(), origin.located.line(&violation.field)),
            None => (format!("record {}", violation.record), 0),
        };
        Some(Diagnostic {
            file,
            diagnostic: record::Diagnostic {
                line,
                field: violation.field,
                reason: violation.reason,
            },
        })
    }
}

/// Returns whether an error in a field hides names that other records may refer to.
fn hides_names(field: &str) -> bool {
    let last = field.rsplit('.').next();
    last == Some("name") || last == Some("document") || field.starts_with("region.zones")
}
