//! How urgent a client account's requests are.

/// How requests of a client account are scheduled, from schema 2 on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Requests are scheduled by their deadline, or the service's default.
    #[default]
    Interactive,
    /// Requests that state no deadline wait for spare room, on every route.
    Batch,
}
