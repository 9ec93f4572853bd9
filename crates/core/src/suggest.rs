//! Suggestions for mistyped names, by Jaro-Winkler similarity.

const MIN_SIMILARITY: f64 = 0.8;

/// Returns the known name most similar to a mistyped one, if any is similar enough.
#[must_use]
pub fn nearest<'a, I>(text: &str, known: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let scored = known
        .into_iter()
        .map(|name| (strsim::jaro_winkler(text, name), name));
    let similar = scored.filter(|(score, _name)| *score >= MIN_SIMILARITY);
    similar
        .max_by(|(one, _), (other, _)| one.total_cmp(other))
        .map(|(_score, name)| name)
}

/// Returns a hint that suggests the most similar known name, or lists all of them.
#[must_use]
pub fn hint<'a, I>(text: &str, known: I) -> String
where
    I: IntoIterator<Item = &'a str>,
{
    let known: Vec<&str> = known.into_iter().collect();
    match nearest(text, known.iter().copied()) {
        Some(name) => format!("did you mean '{name}'?"),
        None => format!("allowed values are {}", known.join(", ")),
    }
}
