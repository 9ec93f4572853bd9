//! A route of a service.

/// Requests that a service takes, by method and path.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP methods of the route.
    pub methods: Vec<String>,
    /// Path with all that lies below it by whole segments; the longest match wins.
    pub path: String,
    /// Who may use the route.
    pub access: Access,
    /// Whether a request may be run more than once.
    pub idempotent: bool,
    /// Whether requests without a deadline wait for spare room.
    #[serde(default)]
    pub batch: bool,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Any caller, without a key.
    Open,
    /// Callers with a valid key.
    Keyed,
}
