//! Fault injection for the stand-in platform.

/// Injected faults of the platform, replaced as a whole with `PUT /faults`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Closes each connection without a response and without applying the request.
    pub down: bool,
    /// Delay before each request is applied, in milliseconds.
    pub slow_millis: u64,
    /// Number of next writes that are applied but get no response; counts down to 0.
    #[serde(rename = "lose_answers")]
    pub lost_responses: u64,
}
