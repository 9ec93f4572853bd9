//! `skylark diff`: shows how records of files differ from those accepted.

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

/// Shows the differences, and fails if there are any.
///
/// # Errors
///
/// Fails when any record is refused or differs.
pub async fn run(session: &session::Session, flags: &options::Diff) -> error::Result<()> {
    let files = files::Files::new(&flags.files)?;
    let base = session.store()?.snapshot().await?;
    let documents = files.documents(base.records.values())?;
    let changed = base.changed(&documents);
    show(session, &base, &changed)?;
    if changed.is_empty() {
        return Ok(());
    }
    let text = format!("what differs: {}", print::records(changed.len()));
    Err(error::Error::Differs(text))
}

/// A record that differs.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Difference {
    record: String,
    change: Change,
    fields: Vec<Field>,
}

/// Whether a record is new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
enum Change {
    Added,
    Changed,
}

/// A field that differs.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Field {
    name: String,
    old: Option<serde_json::Value>,
    new: Option<serde_json::Value>,
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = |value: &Option<serde_json::Value>| {
            value
                .as_ref()
                .map_or_else(|| "none".to_owned(), table::plain)
        };
        write!(
            f,
            "{}: {} -> {}",
            self.name,
            shown(&self.old),
            shown(&self.new)
        )
    }
}

/// Shows what putting the records would change.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn show(
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
            Change::Added => print::styled(print::GOOD, &format!("+ {}", difference.record)),
            Change::Changed => {
                let line = format!("~ {}  {}", difference.record, fields.join(", "));
                print::styled(print::WARN, &line)
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
            print::records(lines.len())
        )
    };
    session.say(&differences, &sentence)
}

fn difference(base: &store::Snapshot, document: &record::Document) -> error::Result<Difference> {
    let record = document.id().unwrap_or_default();
    let Some(known) = base.records.get(&record) else {
        return Ok(Difference {
            record,
            change: Change::Added,
            fields: Vec::new(),
        });
    };
    let (old, new) = (fields(known)?, fields(document)?);
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
        change: Change::Changed,
        fields,
    })
}

/// Returns the fields of a record with its schema; a key's digest is left out.
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
        let digest = serde_json::Value::from("(digest)");
        fields.insert("digest".to_owned(), digest);
    }
    Ok(fields)
}
