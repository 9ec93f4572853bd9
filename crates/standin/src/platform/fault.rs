//! How the stand-in platform is told to fail.

/// Faults in force, set with `PUT /faults`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answer nothing and write nothing.
    pub down: bool,
    /// Delay of each answer, in milliseconds.
    pub slow_millis: u64,
    /// Writes that take effect and whose answer is then lost.
    pub lose_answers: u64,
}
