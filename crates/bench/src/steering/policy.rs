//! The two ways of steering that are compared.

/// A way of steering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Equal weights within the region, no queue, two retries at once.
    Naive,
    /// The decisions of the core.
    Steered,
}

impl Policy {
    /// Both policies.
    pub const ALL: [Self; 2] = [Self::Naive, Self::Steered];

    /// Returns the policy's name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Naive => "naive",
            Self::Steered => "steered",
        }
    }
}
