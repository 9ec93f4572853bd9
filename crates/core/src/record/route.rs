//! Route of a service.

/// A set of requests that a service accepts, by method and path.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP methods that the route matches.
    pub methods: Vec<String>,
    /// Path prefix, matched by whole segments; the longest match wins.
    pub path: String,
    /// Which callers may use the route.
    pub access: Access,
    /// Whether running a request more than once is safe.
    pub idempotent: bool,
    /// Whether requests without a deadline wait for spare capacity.
    #[serde(default)]
    pub batch: bool,
}

/// Which callers may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Any caller, without an API key.
    Open,
    /// Callers with a valid API key.
    Keyed,
}
