//! Parser of records in YAML text, with error recovery and line numbers.

use super::diagnosis;
use super::diagnostic;
use super::line_map;

/// A record together with the line of each of its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Located {
    /// The record.
    pub document: super::Document,
    lines: line_map::LineMap,
}

impl Located {
    /// Returns the line of a field, or else of its nearest enclosing field.
    #[must_use]
    pub fn line(&self, field: &str) -> usize {
        self.lines.line(field)
    }
}

/// Result of parsing a text: the valid records and all diagnostics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parsed {
    /// Records that are valid by themselves, with their lines.
    pub located: Vec<Located>,
    /// Rejected records with invalid fields replaced, so that references to them can be checked.
    pub repaired: Vec<super::Document>,
    /// Diagnostics in the order of their lines.
    pub diagnostics: Vec<diagnostic::Diagnostic>,
}

/// Parses the records of a YAML text, in documents separated by `---`.
///
/// # Errors
///
/// Returns all diagnostics; the text is accepted as a whole or not at all.
pub fn parse(text: &str) -> Result<Vec<super::Document>, Vec<diagnostic::Diagnostic>> {
    let parsed = parse_with_recovery(text);
    if parsed.diagnostics.is_empty() {
        Ok(parsed
            .located
            .into_iter()
            .map(|located| located.document)
            .collect())
    } else {
        Err(parsed.diagnostics)
    }
}

/// Parses the records of a YAML text, and continues after errors to report all of them.
#[must_use]
pub fn parse_with_recovery(text: &str) -> Parsed {
    let mut parsed = Parsed::default();
    for chunk in chunks(text) {
        match parse_document(&chunk) {
            Ok(located) => parsed.located.push(located),
            Err(rejected) => {
                parsed.repaired.extend(rejected.repaired);
                parsed.diagnostics.extend(rejected.diagnostics);
            }
        }
    }
    parsed.diagnostics.sort();
    parsed
}

/// The text of one document and the number of lines before it.
struct Chunk {
    offset: usize,
    text: String,
}

fn chunks(text: &str) -> Vec<Chunk> {
    let mut chunks = vec![Chunk {
        offset: 0,
        text: String::new(),
    }];
    for (index, line) in text.lines().enumerate() {
        if line.trim_end() == "---" {
            chunks.push(Chunk {
                offset: index + 1,
                text: String::new(),
            });
        } else if let Some(chunk) = chunks.last_mut() {
            chunk.text.push_str(line);
            chunk.text.push('\n');
        }
    }
    chunks.retain(|chunk| chunk.text.lines().any(has_content));
    chunks
}

fn has_content(line: &str) -> bool {
    let line = line.trim();
    !line.is_empty() && !line.starts_with('#')
}

/// The diagnostics of a rejected document.
struct Rejected {
    repaired: Option<super::Document>,
    diagnostics: Vec<diagnostic::Diagnostic>,
}

fn parse_document(chunk: &Chunk) -> Result<Located, Box<Rejected>> {
    let lines = line_map::LineMap::new(&chunk.text, chunk.offset);
    let result = serde_yaml_ng::from_str::<super::Document>(&chunk.text);
    if let Ok(document) = &result
        && document.violations().is_empty()
    {
        let document = document.clone();
        return Ok(Located { document, lines });
    }
    let value =
        serde_yaml_ng::from_str(&chunk.text).map_err(|error| syntax_error(chunk, &error))?;
    let diagnosis = diagnosis::diagnose(value);
    match result {
        Err(error) if diagnosis.errors.is_empty() => return Err(syntax_error(chunk, &error)),
        _ => {}
    }
    let diagnostic = |error: diagnosis::FieldError| diagnostic::Diagnostic {
        line: lines.line(&error.field),
        field: error.field,
        reason: error.reason,
    };
    Err(Box::new(Rejected {
        repaired: diagnosis.repaired,
        diagnostics: diagnosis.errors.into_iter().map(diagnostic).collect(),
    }))
}

/// Returns the rejection of a text that is not valid YAML or has a field twice.
fn syntax_error(chunk: &Chunk, error: &serde_yaml_ng::Error) -> Box<Rejected> {
    let line = error.location().map_or(1, |marker| marker.line());
    let diagnostic = diagnostic::Diagnostic {
        line: chunk.offset + line,
        field: "document".to_owned(),
        reason: format!("invalid YAML: {error}"),
    };
    Box::new(Rejected {
        repaired: None,
        diagnostics: vec![diagnostic],
    })
}
