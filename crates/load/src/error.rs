//! Errors of the load tool.

/// Result of a run.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure that the user can mend.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// An account's description cannot be read.
    #[error("'{0}' is no account: write NAME,KEY,SENT,RATE,BURST, such as shop,k1,50,100,200")]
    Account(String),
    /// The base address of requests is missing.
    #[error("give --lookup URL, or --url URL for a direct call")]
    NoAddress,
    /// The look-up gave no entry host.
    #[error("the look-up at {url} names no entry host: {reason}")]
    NoHost {
        /// The look-up's address.
        url: String,
        /// Why there is none.
        reason: String,
    },
    /// A request cannot be formed.
    #[error("the request cannot be formed: {0}")]
    Form(#[from] hyper::http::Error),
    /// An exchange failed.
    #[error("{0}")]
    Exchange(#[from] skylark_wire::http::Error),
    /// The tool cannot start or write.
    #[error("cannot go on: {0}")]
    Start(#[from] std::io::Error),
    /// The report cannot be written.
    #[error("the report cannot be written: {0}")]
    Json(#[from] serde_json::Error),
    /// The histogram's bounds are wrong.
    #[error("the histogram cannot be made: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A latency is beyond what a histogram can hold.
    #[error("a latency cannot be counted: {0}")]
    Record(#[from] hdrhistogram::RecordError),
}
