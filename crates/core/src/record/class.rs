//! Scheduling class of a client account.

/// How a client account's requests are scheduled; available from schema 2.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Requests are scheduled by their deadline, or by the service's default deadline.
    #[default]
    Interactive,
    /// Requests without a deadline wait for spare capacity, on every route.
    Batch,
}
