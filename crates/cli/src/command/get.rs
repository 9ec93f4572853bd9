//! `skylark get`: shows records.

use std::io::Write as _;

use skylark_core::record;
use skylark_core::suggest;

use crate::error;
use crate::options;
use crate::session;
use crate::table;

/// Prints all records, those of one kind, or a single one.
///
/// # Errors
///
/// Fails when the kind is unknown, no record has the name, or the platform does not answer.
pub async fn run(session: &session::Session, flags: &options::Get) -> error::Result<()> {
    if let Some(kind) = &flags.kind {
        check_kind(kind)?;
    }
    let snapshot = session.snapshot().await?;
    let prefix = match (&flags.kind, &flags.name) {
        (Some(kind), Some(name)) => format!("{kind}/{name}"),
        (Some(kind), None) => format!("{kind}/"),
        _ => String::new(),
    };
    let is_selected = |id: &str| match &flags.name {
        Some(_name) => id == prefix,
        None => id.starts_with(&prefix),
    };
    let found: Vec<(&String, &record::Document)> = snapshot
        .records
        .iter()
        .filter(|(id, _document)| is_selected(id))
        .collect();
    if found.is_empty() && flags.name.is_some() {
        let ids = snapshot.records.keys().map(String::as_str);
        let hint = suggest::nearest(&prefix, ids);
        let hint = hint.map(|id| format!(": did you mean '{id}'?"));
        let text = format!(
            "record '{prefix}' does not exist{}",
            hint.unwrap_or_default()
        );
        return Err(error::Error::NotFound(text));
    }
    if flags.yaml {
        return print_yaml(&found);
    }
    if session.format() == session::Format::Json {
        let documents: Vec<&record::Document> = found.iter().map(|(_id, d)| *d).collect();
        return session.output(&documents, "");
    }
    let rows = found.iter().map(|(id, document)| row(id, document));
    let rows = rows.collect::<error::Result<Vec<_>>>()?;
    table::print(&["record", "schema", "content"], &rows)
}

fn check_kind(kind: &str) -> error::Result<()> {
    if record::Document::KINDS.contains(&kind) {
        return Ok(());
    }
    let hint = suggest::hint(kind, record::Document::KINDS);
    Err(error::Error::Usage(format!(
        "unknown kind of record '{kind}': {hint}"
    )))
}

fn print_yaml(found: &[(&String, &record::Document)]) -> error::Result<()> {
    let texts = found
        .iter()
        .map(|(_id, document)| serde_yaml_ng::to_string(document));
    let texts = texts.collect::<Result<Vec<String>, _>>()?;
    write!(anstream::stdout().lock(), "{}", texts.join("---\n"))?;
    Ok(())
}

fn row(id: &str, document: &record::Document) -> error::Result<Vec<String>> {
    let value = serde_json::to_value(document)?;
    let kind = id.split('/').next().unwrap_or_default();
    let fields = value.get(kind).and_then(serde_json::Value::as_object);
    let fields = fields.into_iter().flatten();
    let cells: Vec<String> = fields
        .filter(|(name, _value)| !matches!(name.as_str(), "name" | "digest"))
        .map(|(name, value)| format!("{name}={}", table::format_value(value)))
        .collect();
    Ok(vec![
        id.to_owned(),
        document.schema.to_string(),
        cells.join(" "),
    ])
}
