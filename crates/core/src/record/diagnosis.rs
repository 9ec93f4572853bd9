//! Every fault of one document that cannot be read as it stands.
//!
//! A field that cannot be read is noted and replaced by one that can, until
//! the whole document can be read; so one look finds all faults.

use serde_yaml_ng as yaml;

use crate::suggest;

/// A fault by the path of its field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field.
    pub field: String,
    /// What is wrong and what is allowed.
    pub reason: String,
}

impl FieldError {
    fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }
}

/// Faults that one document is searched for; a bound on the work of a hopeless one.
const MAX_FINDINGS: usize = 100;

/// What is known of a document that cannot be read as it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnosis {
    /// Every fault.
    pub errors: Vec<FieldError>,
    /// The record with its faulty fields replaced.
    pub repaired: Option<super::Document>,
}

/// Returns every fault of a document.
#[must_use]
pub fn diagnose(mut document: yaml::Value) -> Diagnosis {
    let kind = match kind(&document) {
        Ok(kind) => kind,
        Err(finding) => {
            return Diagnosis {
                errors: vec![finding],
                repaired: None,
            };
        }
    };
    let template = super::template(kind).and_then(|text| yaml::from_str(text).ok());
    let template: yaml::Value = template.unwrap_or_default();
    let mut findings = Vec::new();
    if let Some(finding) = schema(&document) {
        findings.push(finding);
        if is_too_new(&document) {
            return Diagnosis {
                errors: findings,
                repaired: None,
            };
        }
        replace(&mut document, &template, "schema");
    }
    align(&mut document, &template, "", &mut findings);
    let mut repaired = None;
    while findings.len() < MAX_FINDINGS {
        match read(&document) {
            Ok(read) => {
                flaws(&read, &mut findings);
                repaired = Some(read);
                break;
            }
            Err(fault) => {
                let field = fault.field.clone();
                findings.push(explain(fault, kind, &template));
                if !replace(&mut document, &template, &field) {
                    break;
                }
            }
        }
    }
    Diagnosis {
        errors: findings,
        repaired,
    }
}

fn kind(document: &yaml::Value) -> Result<&'static str, FieldError> {
    let Some(fields) = document.as_mapping() else {
        return Err(FieldError::new(
            "schema",
            "a document holds exactly one record",
        ));
    };
    let names = || fields.keys().filter_map(yaml::Value::as_str);
    let kinds = super::Document::KINDS;
    let known: Vec<&'static str> = kinds
        .into_iter()
        .filter(|kind| names().any(|name| name == *kind))
        .collect();
    match known.as_slice() {
        [kind] => Ok(kind),
        [] => {
            let other = names().find(|name| *name != "schema").unwrap_or_default();
            let hint = suggest::hint(other, kinds);
            let reason = format!("no kind of record stands here: {hint}");
            Err(FieldError::new(
                if other.is_empty() { "schema" } else { other },
                reason,
            ))
        }
        [_, second, ..] => Err(FieldError::new(
            *second,
            "a document holds exactly one record: part them by a line `---`",
        )),
    }
}

fn schema(document: &yaml::Value) -> Option<FieldError> {
    let (oldest, newest) = (
        super::Document::OLDEST_SCHEMA,
        super::Document::NEWEST_SCHEMA,
    );
    let allowed = format!("this build reads schema {oldest} to {newest}");
    let Some(schema) = document.get("schema") else {
        let reason = format!("missing: {allowed}");
        return Some(FieldError::new("schema", reason));
    };
    let number = schema.as_u64();
    if number.is_some_and(|n| (u64::from(oldest)..=u64::from(newest)).contains(&n)) {
        return None;
    }
    let reason = match number {
        Some(n) if is_too_new(document) => format!("{n} is too new: {allowed}"),
        _ => format!("no schema version: {allowed}"),
    };
    Some(FieldError::new("schema", reason))
}

/// A newer schema may have fields that this build does not know.
fn is_too_new(document: &yaml::Value) -> bool {
    let schema = document.get("schema").and_then(yaml::Value::as_u64);
    schema.is_some_and(|n| n > u64::from(super::Document::NEWEST_SCHEMA))
}

/// Takes unknown fields out or renames them, and reads numbers as text where text is wanted.
fn align(value: &mut yaml::Value, like: &yaml::Value, path: &str, findings: &mut Vec<FieldError>) {
    match (value, like) {
        (yaml::Value::Mapping(fields), yaml::Value::Mapping(known)) => {
            let names = || known.keys().filter_map(yaml::Value::as_str);
            for name in unknown(fields, known, path) {
                let reason = format!("unknown field: {}", suggest::hint(&name, names()));
                findings.push(FieldError::new(join(path, &name), reason));
                let value = fields.remove(name.as_str());
                let meant = suggest::nearest(&name, names());
                if let (Some(meant), Some(value)) = (meant, value)
                    && !fields.contains_key(meant)
                {
                    fields.insert(yaml::Value::from(meant), value);
                }
            }
            for name in names() {
                if let (Some(field), Some(like)) = (fields.get_mut(name), known.get(name)) {
                    align(field, like, &join(path, name), findings);
                }
            }
        }
        (yaml::Value::Sequence(items), yaml::Value::Sequence(known)) => {
            let Some(like) = known.first() else { return };
            for (index, item) in items.iter_mut().enumerate() {
                align(item, like, &format!("{path}[{index}]"), findings);
            }
        }
        (scalar @ (yaml::Value::Number(_) | yaml::Value::Bool(_)), yaml::Value::String(_)) => {
            if let Ok(text) = yaml::to_string(scalar) {
                *scalar = yaml::Value::String(text.trim().to_owned());
            }
        }
        _ => {}
    }
}

/// Returns the names of fields that the template does not have.
fn unknown(fields: &yaml::Mapping, known: &yaml::Mapping, path: &str) -> Vec<String> {
    let names = fields.keys().map(|name| name.as_str().unwrap_or("?"));
    names
        .filter(|name| !known.contains_key(*name) && !is_subject(path, name))
        .map(ToOwned::to_owned)
        .collect()
}

/// The template of a drain shows one of the three subjects.
fn is_subject(path: &str, name: &str) -> bool {
    path == "drain.subject" && matches!(name, "target" | "zone" | "host")
}

/// Why a document cannot be read.
struct Unread {
    field: String,
    message: String,
}

fn read(document: &yaml::Value) -> Result<super::Document, Unread> {
    serde_path_to_error::deserialize(document.clone()).map_err(|error| {
        let path = error.path().to_string();
        let message = error.inner().to_string();
        let field = match missing(&message) {
            Some(name) if path == "." => name.to_owned(),
            Some(name) => join(&path, name),
            None => path,
        };
        Unread { field, message }
    })
}

fn missing(message: &str) -> Option<&str> {
    message.strip_prefix("missing field `")?.strip_suffix('`')
}

fn explain(fault: Unread, kind: &str, template: &yaml::Value) -> FieldError {
    let example = find(template, &fault.field).map(|value| shown(&fault.field, value));
    let example = example.unwrap_or_default();
    let reason = if missing(&fault.message).is_some() {
        format!("missing: write it like `{example}`")
    } else if kind == "key" {
        // A misplaced secret must not be printed.
        format!("not allowed: write it like `{example}`")
    } else if let Some(reason) = variant(&fault.message) {
        reason
    } else if fault.message.starts_with("invalid") {
        format!("{}: write it like `{example}`", fault.message)
    } else {
        fault.message
    };
    FieldError::new(fault.field, reason)
}

/// Rewords `unknown variant` with a suggestion.
fn variant(message: &str) -> Option<String> {
    let rest = message.strip_prefix("unknown variant `")?;
    let (given, rest) = rest.split_once('`')?;
    let allowed: Vec<&str> = rest.split('`').skip(1).step_by(2).collect();
    let hint = suggest::nearest(given, allowed.iter().copied());
    let hint = hint.map(|name| format!("did you mean '{name}'? "));
    Some(format!(
        "'{given}' is not allowed: {}allowed are {}",
        hint.unwrap_or_default(),
        allowed.join(", ")
    ))
}

fn shown(field: &str, value: &yaml::Value) -> String {
    let name = field.rsplit('.').next().unwrap_or(field);
    let name = name.split('[').next().unwrap_or(name);
    let text = match value {
        yaml::Value::String(text) => text.clone(),
        other => serde_json::to_string(other).unwrap_or_default(),
    };
    format!("{name}: {text}")
}

fn flaws(document: &super::Document, findings: &mut Vec<FieldError>) {
    let is_replaced = |field: &str| findings.iter().any(|finding| finding.field == field);
    let found: Vec<FieldError> = document
        .violations()
        .into_iter()
        .filter(|flaw| match flaw.cause {
            super::Cause::Contradiction(other) => !is_replaced(&flaw.field) && !is_replaced(other),
            _ => !is_replaced(&flaw.field),
        })
        .map(|flaw| FieldError::new(flaw.field, flaw.reason))
        .collect();
    findings.extend(found);
}

/// One step of a field's path.
#[derive(Clone, Copy)]
enum Step<'a> {
    Name(&'a str),
    Index(usize),
}

fn steps(field: &str) -> Vec<Step<'_>> {
    let parts = field.split(['.', '[']).filter(|part| !part.is_empty());
    parts
        .map(|part| match part.strip_suffix(']').map(str::parse) {
            Some(Ok(index)) => Step::Index(index),
            _ => Step::Name(part),
        })
        .collect()
}

/// Finds the template's value for a field; the first item stands for every item.
fn find<'a>(template: &'a yaml::Value, field: &str) -> Option<&'a yaml::Value> {
    steps(field)
        .into_iter()
        .try_fold(template, |value, step| match step {
            Step::Name(name) => value.get(name),
            Step::Index(_) => value.get(0),
        })
}

/// Replaces a field by the template's, and returns whether there was anything to replace.
fn replace(document: &mut yaml::Value, template: &yaml::Value, field: &str) -> bool {
    let Some(good) = find(template, field) else {
        return false;
    };
    let steps = steps(field);
    let Some((last, parents)) = steps.split_last() else {
        return false;
    };
    let parent = parents.iter().try_fold(document, |value, step| match step {
        Step::Name(name) => value.get_mut(name),
        Step::Index(index) => value.get_mut(index),
    });
    match (parent, last) {
        (Some(yaml::Value::Mapping(fields)), Step::Name(name)) => {
            fields.insert(yaml::Value::from(*name), good.clone());
            true
        }
        (Some(yaml::Value::Sequence(items)), Step::Index(index)) if *index < items.len() => {
            items[*index] = good.clone();
            true
        }
        _ => false,
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
