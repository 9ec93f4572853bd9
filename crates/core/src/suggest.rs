//! Suggestions for mistyped names.

const MIN_SIMILARITY: f64 = 0.8;

/// Returns the known name that is most like a mistyped one, if any is like it.
#[must_use]
pub fn nearest<'a, I>(text: &str, known: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let scored = known
        .into_iter()
        .map(|name| (strsim::jaro_winkler(text, name), name));
    let likely = scored.filter(|(score, _name)| *score >= MIN_SIMILARITY);
    likely
        .max_by(|(one, _), (other, _)| one.total_cmp(other))
        .map(|(_score, name)| name)
}

/// Returns a sentence that suggests the nearest known name, or lists what is allowed.
#[must_use]
pub fn hint<'a, I>(text: &str, known: I) -> String
where
    I: IntoIterator<Item = &'a str>,
{
    let known: Vec<&str> = known.into_iter().collect();
    match nearest(text, known.iter().copied()) {
        Some(name) => format!("did you mean '{name}'?"),
        None => format!("allowed are {}", known.join(", ")),
    }
}
