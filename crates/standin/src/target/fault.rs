//! Fault injection for a stand-in target.

/// Injected faults of one target, replaced as a whole with `PUT /standin/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time added to the processing of each request, in milliseconds.
    pub slow_millis: u64,
    /// How the target responds to requests.
    pub mode: Mode,
    /// Whether responses announce that the target is draining.
    pub is_draining: bool,
    /// Load that responses report instead of the actual one.
    pub reported_load: Option<usize>,
    /// Path whose requests crash the target, which is then down for `crash_millis`.
    pub crash_path: Option<String>,
    /// Time for which the target is down after a crash, in milliseconds.
    pub crash_millis: u64,
}

/// How a stand-in target responds to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Runs them and sends a complete response.
    #[default]
    Normal,
    /// Closes the connection of each request without a response.
    #[serde(rename = "dead")]
    Down,
    /// Refuses them with status 503 before they start (load shedding).
    Shedding,
    /// Runs them and breaks off the response after half of its body.
    #[serde(rename = "cutting")]
    Truncating,
}
