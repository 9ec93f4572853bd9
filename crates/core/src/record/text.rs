//! Reading records from YAML text.

use super::fault;
use super::place;
use super::survey;

/// A record with the lines of its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The record.
    pub document: super::Document,
    places: place::Places,
}

impl Source {
    /// Returns the line of a field, or of the nearest field that holds it.
    #[must_use]
    pub fn line(&self, field: &str) -> usize {
        self.places.line(field)
    }
}

/// The records and the faults of a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Text {
    /// Records without a fault of their own.
    pub sources: Vec<Source>,
    /// Refused records with their faulty fields replaced, for checks of those that name them.
    pub mended: Vec<super::Document>,
    /// Faults in order of their lines.
    pub faults: Vec<fault::Fault>,
}

/// Reads the records of a YAML text, documents parted by `---`.
///
/// # Errors
///
/// Returns every fault found; the text is accepted whole or not at all.
pub fn parse(text: &str) -> Result<Vec<super::Document>, Vec<fault::Fault>> {
    let text = read(text);
    if text.faults.is_empty() {
        Ok(text
            .sources
            .into_iter()
            .map(|source| source.document)
            .collect())
    } else {
        Err(text.faults)
    }
}

/// Reads the records of a YAML text with the lines of their fields, and every fault.
#[must_use]
pub fn read(text: &str) -> Text {
    let mut read = Text::default();
    for part in parts(text) {
        match read_part(&part) {
            Ok(source) => read.sources.push(source),
            Err(refused) => {
                read.mended.extend(refused.mended);
                read.faults.extend(refused.faults);
            }
        }
    }
    read.faults.sort();
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
    mended: Option<super::Document>,
    faults: Vec<fault::Fault>,
}

fn read_part(part: &Part) -> Result<Source, Box<Refused>> {
    let places = place::Places::new(&part.text, part.offset);
    let read = serde_yaml_ng::from_str::<super::Document>(&part.text);
    if let Ok(document) = &read
        && document.flaws().is_empty()
    {
        let document = document.clone();
        return Ok(Source { document, places });
    }
    let value = serde_yaml_ng::from_str(&part.text).map_err(|error| syntax(part, &error))?;
    let survey = survey::survey(value);
    match read {
        Err(error) if survey.findings.is_empty() => return Err(syntax(part, &error)),
        _ => {}
    }
    let fault = |finding: survey::Finding| fault::Fault {
        line: places.line(&finding.field),
        field: finding.field,
        reason: finding.reason,
    };
    Err(Box::new(Refused {
        mended: survey.mended,
        faults: survey.findings.into_iter().map(fault).collect(),
    }))
}

/// A text that is no YAML, or names one field twice.
fn syntax(part: &Part, error: &serde_yaml_ng::Error) -> Box<Refused> {
    let line = error.location().map_or(1, |place| place.line());
    let fault = fault::Fault {
        line: part.offset + line,
        field: "document".to_owned(),
        reason: format!("no YAML that can be read: {error}"),
    };
    Box::new(Refused {
        mended: None,
        faults: vec![fault],
    })
}
