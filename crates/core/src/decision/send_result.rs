//! How an exchange with a target ended.

/// The end of one exchange with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SendResult {
    /// The whole answer came, with this HTTP status.
    Answered(u16),
    /// The target did not start the request, by its own word or by refusing the connection.
    NotStarted,
    /// The exchange broke after a byte may have left.
    Broken,
    /// The deadline passed before the answer came.
    Expired,
}
