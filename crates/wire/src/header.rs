//! Names of the HTTP headers between callers, entry hosts and targets.

/// Time that the caller still waits, in milliseconds.
pub const TIMEOUT: &str = "request-timeout-ms";
/// Key that makes resends of one request recognizable: `HOME.UNIQUE`.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Number of the caller's attempt under one idempotency key, from 1.
pub const ATTEMPT: &str = "request-attempt";
/// Unique id of the request, returned to the caller and given to the target.
pub const REQUEST_ID: &str = "request-id";
/// Name of the target that answered.
pub const TARGET: &str = "served-by";
/// Whether a refused request may have run: `not-run` or `unknown`.
pub const OUTCOME: &str = "request-outcome";
/// Client account that a target runs the request for.
pub const ACCOUNT: &str = "client-account";
/// A target's word that it did not start the request.
pub const NOT_STARTED: &str = "request-not-started";
/// Requests that a target runs at present, on each of its answers.
pub const LOAD: &str = "target-load";
/// A target's word that it is leaving.
pub const DRAINING: &str = "target-draining";
