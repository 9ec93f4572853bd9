//! Whether a request is its caller's first attempt under a key.

/// Whether a request is its caller's first attempt under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Attempt {
    /// The caller has sent nothing under this key before.
    First,
    /// The caller may have sent the request before.
    Later,
}

impl Attempt {
    /// Reads the attempt header; only a plain `1` counts as the first attempt.
    #[must_use]
    pub fn parse(text: Option<&str>) -> Self {
        match text {
            Some("1") => Self::First,
            _ => Self::Later,
        }
    }
}
