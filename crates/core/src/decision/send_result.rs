//! Result of sending a request to a target.

/// Result of sending a request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SendResult {
    /// The complete response arrived, with this HTTP status.
    Answered(u16),
    /// The target did not start the request: it said so, or refused the connection.
    NotStarted,
    /// The connection broke after a byte may have been sent.
    Broken,
    /// The deadline passed before the response arrived.
    Expired,
}
