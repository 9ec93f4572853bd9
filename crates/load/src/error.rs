//! Errors that end the load tool.

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure that the user can correct.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// Argument for an account is malformed.
    #[error(
        "'{0}' is not a valid account: give NAME,KEY,SENT,RATE,BURST, such as shop,k1,50,100,200"
    )]
    Account(String),
    /// Neither a look-up nor a base URL is given.
    #[error("give --lookup URL, or --url URL for a direct call")]
    MissingUrl,
    /// Look-up returned no entry host.
    #[error("the look-up at {url} returned no entry host: {reason}")]
    NoEntryHost {
        /// URL of the look-up.
        url: String,
        /// What is wrong with its response.
        reason: String,
    },
    /// Request has an invalid method, URL or header.
    #[error("the request is invalid: {0}; check its method, path and keys")]
    InvalidRequest(#[from] hyper::http::Error),
    /// HTTP request got no complete response.
    #[error("{0}")]
    Http(#[from] skylark_wire::http::Error),
    /// Runtime cannot start or the output cannot be written.
    #[error("cannot start the runtime or write the output: {0}")]
    Io(#[from] std::io::Error),
    /// Report cannot be written as JSON.
    #[error("the report cannot be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// Histogram cannot be created with its bounds.
    #[error("the latency histogram cannot be created: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// Latency is above the upper bound of the histogram.
    #[error("a latency does not fit into the histogram: {0}")]
    Record(#[from] hdrhistogram::RecordError),
}
