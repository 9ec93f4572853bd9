//! Diagnosis of a document that cannot be read: finds all errors in one pass (error recovery).
//!
//! Each field that cannot be read is reported and replaced by the template's
//! value until the whole document can be read, so one invalid field does not
//! hide the errors of the others.

use serde_yaml_ng as yaml;

use crate::suggest;

/// An error in a field of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field.
    pub field: String,
    /// What is wrong and which values are allowed.
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

/// Number of errors at which a search stops, to bound the work on a badly broken document.
const MAX_ERRORS: usize = 100;

/// The errors of a document, and its record with the errors repaired.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnosis {
    /// Every error that was found.
    pub errors: Vec<FieldError>,
    /// The record with invalid fields replaced by the template's, if that made it readable.
    pub repaired: Option<super::Document>,
}

/// Returns every error of a document.
#[must_use]
pub fn diagnose(mut document: yaml::Value) -> Diagnosis {
    let kind = match record_kind(&document) {
        Ok(kind) => kind,
        Err(error) => {
            return Diagnosis {
                errors: vec![error],
                repaired: None,
            };
        }
    };
    let template = super::template(kind).and_then(|text| yaml::from_str(text).ok());
    let template: yaml::Value = template.unwrap_or_default();
    let mut errors = Vec::new();
    if let Some(error) = check_schema(&document) {
        errors.push(error);
        if is_too_new(&document) {
            return Diagnosis {
                errors,
                repaired: None,
            };
        }
        replace_field(&mut document, &template, "schema");
    }
    normalize(&mut document, &template, "", &mut errors);
    let mut repaired = None;
    while errors.len() < MAX_ERRORS {
        match read_document(&document) {
            Ok(record) => {
                add_violations(&record, &mut errors);
                repaired = Some(record);
                break;
            }
            Err(error) => {
                let field = error.field.clone();
                errors.push(explain(error, kind, &template));
                if !replace_field(&mut document, &template, &field) {
                    break;
                }
            }
        }
    }
    Diagnosis { errors, repaired }
}

fn record_kind(document: &yaml::Value) -> Result<&'static str, FieldError> {
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
            let reason = format!("names no known kind of record: {hint}");
            Err(FieldError::new(
                if other.is_empty() { "schema" } else { other },
                reason,
            ))
        }
        [_, second, ..] => Err(FieldError::new(
            *second,
            "a document holds exactly one record: separate records by a line `---`",
        )),
    }
}

fn check_schema(document: &yaml::Value) -> Option<FieldError> {
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
        _ => format!("not a schema version that can be read: {allowed}"),
    };
    Some(FieldError::new("schema", reason))
}

/// Returns whether the schema is newer than this build reads, so its fields cannot be checked.
fn is_too_new(document: &yaml::Value) -> bool {
    let schema = document.get("schema").and_then(yaml::Value::as_u64);
    schema.is_some_and(|n| n > u64::from(super::Document::NEWEST_SCHEMA))
}

/// Removes or renames unknown fields, and turns scalars into text where the template has text.
fn normalize(
    value: &mut yaml::Value,
    template: &yaml::Value,
    path: &str,
    errors: &mut Vec<FieldError>,
) {
    match (value, template) {
        (yaml::Value::Mapping(fields), yaml::Value::Mapping(known)) => {
            let names = || known.keys().filter_map(yaml::Value::as_str);
            for name in unknown_fields(fields, known, path) {
                let reason = format!("unknown field: {}", suggest::hint(&name, names()));
                errors.push(FieldError::new(join(path, &name), reason));
                let value = fields.remove(name.as_str());
                let intended = suggest::nearest(&name, names());
                if let (Some(intended), Some(value)) = (intended, value)
                    && !fields.contains_key(intended)
                {
                    fields.insert(yaml::Value::from(intended), value);
                }
            }
            for name in names() {
                if let (Some(field), Some(template)) = (fields.get_mut(name), known.get(name)) {
                    normalize(field, template, &join(path, name), errors);
                }
            }
        }
        (yaml::Value::Sequence(items), yaml::Value::Sequence(known)) => {
            let Some(template) = known.first() else {
                return;
            };
            for (index, item) in items.iter_mut().enumerate() {
                normalize(item, template, &format!("{path}[{index}]"), errors);
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

/// Returns the names of the fields that the template does not have.
fn unknown_fields(fields: &yaml::Mapping, known: &yaml::Mapping, path: &str) -> Vec<String> {
    let names = fields.keys().map(|name| name.as_str().unwrap_or("?"));
    names
        .filter(|name| !known.contains_key(*name) && !is_drain_subject(path, name))
        .map(ToOwned::to_owned)
        .collect()
}

/// Returns whether a field is one of a drain's three subjects, of which the template shows one.
fn is_drain_subject(path: &str, name: &str) -> bool {
    path == "drain.subject" && matches!(name, "target" | "zone" | "host")
}

/// Why a document cannot be deserialized.
struct ReadError {
    field: String,
    message: String,
}

fn read_document(document: &yaml::Value) -> Result<super::Document, ReadError> {
    serde_path_to_error::deserialize(document.clone()).map_err(|error| {
        let path = error.path().to_string();
        let message = error.inner().to_string();
        let field = match missing_field(&message) {
            Some(name) if path == "." => name.to_owned(),
            Some(name) => join(&path, name),
            None => path,
        };
        ReadError { field, message }
    })
}

fn missing_field(message: &str) -> Option<&str> {
    message.strip_prefix("missing field `")?.strip_suffix('`')
}

fn explain(error: ReadError, kind: &str, template: &yaml::Value) -> FieldError {
    let example = lookup(template, &error.field).map(|value| format_field(&error.field, value));
    let example = example.unwrap_or_default();
    let reason = if missing_field(&error.message).is_some() {
        format!("missing: write it like `{example}`")
    } else if kind == "key" {
        // The value may be an API key in the wrong field, which must not be printed.
        format!("not allowed: write it like `{example}`")
    } else if let Some(reason) = unknown_variant(&error.message) {
        reason
    } else if error.message.starts_with("invalid") {
        format!("{}: write it like `{example}`", error.message)
    } else {
        error.message
    };
    FieldError::new(error.field, reason)
}

/// Rewords serde's message on an unknown variant, with a suggestion.
fn unknown_variant(message: &str) -> Option<String> {
    let rest = message.strip_prefix("unknown variant `")?;
    let (given, rest) = rest.split_once('`')?;
    let allowed: Vec<&str> = rest.split('`').skip(1).step_by(2).collect();
    let hint = suggest::nearest(given, allowed.iter().copied());
    let hint = hint.map(|name| format!("did you mean '{name}'? "));
    Some(format!(
        "'{given}' is not allowed: {}allowed values are {}",
        hint.unwrap_or_default(),
        allowed.join(", ")
    ))
}

fn format_field(field: &str, value: &yaml::Value) -> String {
    let name = field.rsplit('.').next().unwrap_or(field);
    let name = name.split('[').next().unwrap_or(name);
    let text = match value {
        yaml::Value::String(text) => text.clone(),
        other => serde_json::to_string(other).unwrap_or_default(),
    };
    format!("{name}: {text}")
}

fn add_violations(document: &super::Document, errors: &mut Vec<FieldError>) {
    let is_replaced = |field: &str| errors.iter().any(|error| error.field == field);
    let added: Vec<FieldError> = document
        .violations()
        .into_iter()
        .filter(|violation| match violation.cause {
            super::Cause::Contradiction(other) => {
                !is_replaced(&violation.field) && !is_replaced(other)
            }
            _ => !is_replaced(&violation.field),
        })
        .map(|violation| FieldError::new(violation.field, violation.reason))
        .collect();
    errors.extend(added);
}

/// One segment of a field's path.
#[derive(Clone, Copy)]
enum Segment<'a> {
    Name(&'a str),
    Index(usize),
}

fn segments(field: &str) -> Vec<Segment<'_>> {
    let parts = field.split(['.', '[']).filter(|part| !part.is_empty());
    parts
        .map(|part| match part.strip_suffix(']').map(str::parse) {
            Some(Ok(index)) => Segment::Index(index),
            _ => Segment::Name(part),
        })
        .collect()
}

/// Returns the template's value of a field; its first item stands for every item of a list.
fn lookup<'a>(template: &'a yaml::Value, field: &str) -> Option<&'a yaml::Value> {
    segments(field)
        .into_iter()
        .try_fold(template, |value, segment| match segment {
            Segment::Name(name) => value.get(name),
            Segment::Index(_) => value.get(0),
        })
}

/// Replaces a field's value by the template's, and returns whether the field could be replaced.
fn replace_field(document: &mut yaml::Value, template: &yaml::Value, field: &str) -> bool {
    let Some(replacement) = lookup(template, field) else {
        return false;
    };
    let segments = segments(field);
    let Some((last, parents)) = segments.split_last() else {
        return false;
    };
    let parent = parents
        .iter()
        .try_fold(document, |value, segment| match segment {
            Segment::Name(name) => value.get_mut(name),
            Segment::Index(index) => value.get_mut(index),
        });
    match (parent, last) {
        (Some(yaml::Value::Mapping(fields)), Segment::Name(name)) => {
            fields.insert(yaml::Value::from(*name), replacement.clone());
            true
        }
        (Some(yaml::Value::Sequence(items)), Segment::Index(index)) if *index < items.len() => {
            items[*index] = replacement.clone();
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
