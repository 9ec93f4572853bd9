//! Steering policies under comparison.

/// A steering policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Uniform random choice within the region, without a queue, with two immediate retries.
    Naive,
    /// Target choice, queue and retry budget of `skylark_core::steer`.
    Steered,
}

impl Policy {
    /// Both policies.
    pub const ALL: [Self; 2] = [Self::Naive, Self::Steered];

    /// Returns the name that reports print.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Naive => "naive",
            Self::Steered => "steered",
        }
    }
}
