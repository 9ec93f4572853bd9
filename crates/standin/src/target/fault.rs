//! How a stand-in target is told to fail.

/// Faults in force at one target, set with `PUT /standin/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Added time of each request, in milliseconds.
    pub slow_millis: u64,
    /// What the target does with requests.
    pub mode: Mode,
    /// Whether the target says that it is leaving.
    pub is_draining: bool,
    /// Load that the target reports in place of the true one.
    pub reported_load: Option<usize>,
    /// Path that crashes the target: it stays dead for `crash_millis`.
    pub crash_path: Option<String>,
    /// Time for which a crashed target stays dead, in milliseconds.
    pub crash_millis: u64,
}

/// What a stand-in target does with requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Answers them.
    #[default]
    Normal,
    /// Closes every connection at once.
    Dead,
    /// Refuses them without a start.
    Shedding,
    /// Cuts its answers short.
    Cutting,
}
