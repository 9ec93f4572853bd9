//! Reading records from YAML text.

use super::diagnosis;
use super::diagnostic;
use super::line_map;

/// A record with the lines of its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Located {
    /// The record.
    pub document: super::Document,
    places: line_map::LineMap,
}

impl Located {
    /// Returns the line of a field, or of the nearest field that holds it.
    #[must_use]
    pub fn line(&self, field: &str) -> usize {
        self.places.line(field)
    }
}

/// The records and the faults of a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parsed {
    /// Records without a fault of their own.
    pub located: Vec<Located>,
    /// Refused records with their faulty fields replaced, for checks of those that name them.
    pub repaired: Vec<super::Document>,
    /// Faults in order of their lines.
    pub diagnostics: Vec<diagnostic::Diagnostic>,
}

/// Reads the records of a YAML text, documents parted by `---`.
///
/// # Errors
///
/// Returns every fault found; the text is accepted whole or not at all.
pub fn parse(text: &str) -> Result<Vec<super::Document>, Vec<diagnostic::Diagnostic>> {
    let text = parse_with_recovery(text);
    if text.diagnostics.is_empty() {
        Ok(text
            .located
            .into_iter()
            .map(|source| source.document)
            .collect())
    } else {
        Err(text.diagnostics)
    }
}

/// Reads the records of a YAML text with the lines of their fields, and every fault.
#[must_use]
pub fn parse_with_recovery(text: &str) -> Parsed {
    let mut read = Parsed::default();
    for part in parts(text) {
        match read_part(&part) {
            Ok(source) => read.located.push(source),
            Err(refused) => {
                read.repaired.extend(refused.repaired);
                read.diagnostics.extend(refused.faults);
            }
        }
    }
    read.diagnostics.sort();
    read
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

/// A document that is refused.
struct Refused {
    repaired: Option<super::Document>,
    faults: Vec<diagnostic::Diagnostic>,
}

fn read_part(part: &Part) -> Result<Located, Box<Refused>> {
    let places = line_map::LineMap::new(&part.text, part.offset);
    let read = serde_yaml_ng::from_str::<super::Document>(&part.text);
    if let Ok(document) = &read
        && document.violations().is_empty()
    {
        let document = document.clone();
        return Ok(Located { document, places });
    }
    let value = serde_yaml_ng::from_str(&part.text).map_err(|error| syntax(part, &error))?;
    let survey = diagnosis::diagnose(value);
    match read {
        Err(error) if survey.errors.is_empty() => return Err(syntax(part, &error)),
        _ => {}
    }
    let fault = |finding: diagnosis::FieldError| diagnostic::Diagnostic {
        line: places.line(&finding.field),
        field: finding.field,
        reason: finding.reason,
    };
    Err(Box::new(Refused {
        repaired: survey.repaired,
        faults: survey.errors.into_iter().map(fault).collect(),
    }))
}

/// A text that is no YAML, or names one field twice.
fn syntax(part: &Part, error: &serde_yaml_ng::Error) -> Box<Refused> {
    let line = error.location().map_or(1, |place| place.line());
    let fault = diagnostic::Diagnostic {
        line: part.offset + line,
        field: "document".to_owned(),
        reason: format!("no YAML that can be read: {error}"),
    };
    Box::new(Refused {
        repaired: None,
        faults: vec![fault],
    })
}
