//! Attempt of a request with a key: the caller's first, or a later one.

/// Whether a request is the caller's first attempt with its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Attempt {
    /// The caller has sent no request with this key before.
    First,
    /// The caller may have sent a request with this key before.
    Later,
}

impl Attempt {
    /// Parses the attempt header; any value but `1`, or none, is a later attempt.
    #[must_use]
    pub fn parse(text: Option<&str>) -> Self {
        match text {
            Some("1") => Self::First,
            _ => Self::Later,
        }
    }
}
