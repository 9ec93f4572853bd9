//! `skylark diff`: shows how the records of files differ from those on the platform.

use std::collections;
use std::fmt;

use skylark_core::record;

use crate::error;
use crate::files;
use crate::options;
use crate::print;
use crate::session;
use crate::store;
use crate::table;

/// Prints the differences and fails if there are any.
///
/// # Errors
///
/// Fails when any record is invalid or differs.
pub async fn run(session: &session::Session, flags: &options::Diff) -> error::Result<()> {
    let files = files::Files::new(&flags.files)?;
    let base = session.snapshot().await?;
    let documents = files.documents(base.records.values())?;
    let changed = base.changed(&documents);
    print_differences(session, &base, &changed)?;
    if changed.is_empty() {
        return Ok(());
    }
    let text = format!(
        "differences found: {} not as on the platform",
        print::record_count(changed.len())
    );
    Err(error::Error::Differs(text))
}

/// Record that differs from the one on the platform.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Difference {
    record: String,
    change: ChangeKind,
    fields: Vec<Field>,
}

/// Whether a record is new or changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
enum ChangeKind {
    Added,
    Changed,
}

/// Field of a record with its old and new value.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Field {
    name: String,
    old: Option<serde_json::Value>,
    new: Option<serde_json::Value>,
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let format_optional = |value: &Option<serde_json::Value>| {
            value
                .as_ref()
                .map_or_else(|| "none".to_owned(), table::format_value)
        };
        write!(
            f,
            "{}: {} -> {}",
            self.name,
            format_optional(&self.old),
            format_optional(&self.new)
        )
    }
}

/// Prints what putting the records would change.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn print_differences(
    session: &session::Session,
    base: &store::Snapshot,
    changed: &[record::Document],
) -> error::Result<()> {
    let differences = changed
        .iter()
        .map(|document| difference(base, document))
        .collect::<error::Result<Vec<_>>>()?;
    let lines = differences.iter().map(|difference| {
        let fields: Vec<String> = difference.fields.iter().map(ToString::to_string).collect();
        match difference.change {
            ChangeKind::Added => print::styled(print::SUCCESS, &format!("+ {}", difference.record)),
            ChangeKind::Changed => {
                let line = format!("~ {}  {}", difference.record, fields.join(", "));
                print::styled(print::WARNING, &line)
            }
        }
    });
    let lines: Vec<String> = lines.collect();
    let version = base.head.version;
    let sentence = if lines.is_empty() {
        format!("nothing differs from version {version}")
    } else {
        format!(
            "{}
{} not as in version {version}",
            lines.join(
                "
"
            ),
            print::record_count(lines.len())
        )
    };
    session.output(&differences, &sentence)
}

fn difference(base: &store::Snapshot, document: &record::Document) -> error::Result<Difference> {
    let record = document.id().unwrap_or_default();
    let Some(current) = base.records.get(&record) else {
        return Ok(Difference {
            record,
            change: ChangeKind::Added,
            fields: Vec::new(),
        });
    };
    let (old, new) = (fields(current)?, fields(document)?);
    let names: collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let fields = names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| Field {
            name: name.clone(),
            old: old.get(name).cloned(),
            new: new.get(name).cloned(),
        })
        .collect();
    Ok(Difference {
        record,
        change: ChangeKind::Changed,
        fields,
    })
}

/// Returns the fields of a record and its schema, with a placeholder for a key's digest.
fn fields(
    document: &record::Document,
) -> error::Result<collections::BTreeMap<String, serde_json::Value>> {
    let mut fields = collections::BTreeMap::new();
    if let serde_json::Value::Object(entries) = serde_json::to_value(document)? {
        for (name, value) in entries {
            match value {
                serde_json::Value::Object(inner) => fields.extend(inner),
                other => {
                    fields.insert(name, other);
                }
            }
        }
    }
    if fields.remove("digest").is_some() {
        let placeholder = serde_json::Value::from("(digest)");
        fields.insert("digest".to_owned(), placeholder);
    }
    Ok(fields)
}
