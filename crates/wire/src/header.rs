//! Names of HTTP headers exchanged by callers, entry hosts and targets.

/// Remaining time until the caller's timeout, in milliseconds.
pub const TIMEOUT: &str = "request-timeout-ms";
/// Idempotency key that repeated sends of one request share: `HOME.UNIQUE`.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Sequence number of the caller's attempt with one idempotency key, from 1.
pub const ATTEMPT: &str = "request-attempt";
/// Unique id of the request, sent to the target and returned to the caller.
pub const REQUEST_ID: &str = "request-id";
/// Name of the target that served the request.
pub const TARGET: &str = "served-by";
/// Whether a rejected request may have run: `not-run` or `unknown`.
pub const OUTCOME: &str = "request-outcome";
/// Client account on whose behalf the target runs the request.
pub const ACCOUNT: &str = "client-account";
/// Set by a target that did not start the request, so that a retry cannot run it twice.
pub const NOT_STARTED: &str = "request-not-started";
/// Number of requests in progress at the target, set on each of its responses.
pub const LOAD: &str = "target-load";
/// Set by a target that is draining and accepts no new requests.
pub const DRAINING: &str = "target-draining";
