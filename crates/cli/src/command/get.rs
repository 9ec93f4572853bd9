//! `skylark get`: shows records.

use skylark_core::record;

use crate::error;
use crate::options;
use crate::session;
use crate::table;

/// Prints the records of one kind, or of all.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn run(session: &session::Session, flags: &options::Get) -> error::Result<()> {
    let snapshot = session.store()?.snapshot().await?;
    let is_asked = |id: &str| {
        let kind = id.split('/').next();
        flags.kind.is_none() || flags.kind.as_deref() == kind
    };
    let found: Vec<(&String, &record::Document)> = snapshot
        .records
        .iter()
        .filter(|(id, _document)| is_asked(id))
        .collect();
    if session.format() == session::Format::Programs {
        let documents: Vec<&record::Document> = found.iter().map(|(_id, d)| *d).collect();
        return session.say(&documents, "");
    }
    let rows = found.iter().map(|(id, document)| row(id, document));
    let rows = rows.collect::<error::Result<Vec<_>>>()?;
    table::print(&["record", "schema", "content"], &rows)
}

fn row(id: &str, document: &record::Document) -> error::Result<Vec<String>> {
    let value = serde_json::to_value(document)?;
    let kind = id.split('/').next().unwrap_or_default();
    let fields = value.get(kind).and_then(serde_json::Value::as_object);
    let fields = fields.into_iter().flatten();
    let cells: Vec<String> = fields
        .filter(|(name, _value)| !matches!(name.as_str(), "name" | "digest"))
        .map(|(name, value)| format!("{name}={}", plain(value)))
        .collect();
    Ok(vec![
        id.to_owned(),
        document.schema.to_string(),
        cells.join(" "),
    ])
}

fn plain(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
