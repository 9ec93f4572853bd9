//! Reading records from YAML text.

use std::fmt;

/// A fault in a file of records, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line of the file, from 1.
    pub line: usize,
    /// Path of the field, such as `account.rate`.
    pub field: String,
    /// What is wrong and what is allowed.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.field, self.reason)
    }
}

/// Reads the records of a YAML text, documents parted by `---`.
///
/// # Errors
///
/// Returns every fault found; the text is accepted whole or not at all.
pub fn parse(text: &str) -> Result<Vec<super::Document>, Vec<Fault>> {
    let mut documents = Vec::new();
    let mut faults = Vec::new();
    for part in parts(text) {
        match parse_one(&part) {
            Ok(document) => documents.push(document),
            Err(fault) => faults.push(fault),
        }
    }
    if faults.is_empty() {
        Ok(documents)
    } else {
        Err(faults)
    }
}

/// One document's text and the line before its first.
struct Part {
    offset: usize,
    text: String,
}

fn parts(text: &str) -> Vec<Part> {
    let mut parts = vec![Part {
        offset: 0,
        text: String::new(),
    }];
    for (index, line) in text.lines().enumerate() {
        if line.trim_end() == "---" {
            parts.push(Part {
                offset: index + 1,
                text: String::new(),
            });
        } else if let Some(part) = parts.last_mut() {
            part.text.push_str(line);
            part.text.push('\n');
        }
    }
    parts.retain(|part| part.text.lines().any(has_content));
    parts
}

fn has_content(line: &str) -> bool {
    let line = line.trim();
    !line.is_empty() && !line.starts_with('#')
}

fn parse_one(part: &Part) -> Result<super::Document, Fault> {
    let reader = serde_yaml_ng::Deserializer::from_str(&part.text);
    let document: super::Document = serde_path_to_error::deserialize(reader).map_err(|error| {
        let line = error.inner().location().map_or(1, |place| place.line());
        Fault {
            line: part.offset + line,
            field: error.path().to_string(),
            reason: error.inner().to_string(),
        }
    })?;
    let fault = |field: &str, reason: &str| Fault {
        line: part.offset + 1,
        field: field.to_owned(),
        reason: reason.to_owned(),
    };
    if document.schema != super::Document::SCHEMA {
        return Err(fault("schema", "this build reads schema 1"));
    }
    if document.id().is_none() {
        return Err(fault(".", "a document holds exactly one record"));
    }
    Ok(document)
}
