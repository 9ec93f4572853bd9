//! The trait through which a process reaches the platform.

use std::future;

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed platform call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A condition of the transaction did not hold; nothing was written.
    #[error("another write came first: row '{key}' has another version")]
    Conflict {
        /// Key of the row that had another version.
        key: String,
    },
    /// The platform refused the call; nothing was written.
    #[error("the platform refused the call with status {status}")]
    Refused {
        /// Status of the answer.
        status: u16,
    },
    /// No answer came; a write may or may not have taken effect.
    #[error("the platform did not answer: {reason}")]
    NoAnswer {
        /// Why there is no answer.
        reason: String,
    },
    /// The answer could not be read.
    #[error("the platform's answer cannot be read: {reason}")]
    BadAnswer {
        /// What is wrong with it.
        reason: String,
    },
}

/// The platform as a process sees it.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads one row.
    fn row(&self, key: &str) -> impl future::Future<Output = Result<Option<super::Row>>> + Send;

    /// Reads all rows whose key starts with a prefix, in order of key.
    fn rows(&self, prefix: &str) -> impl future::Future<Output = Result<Vec<super::Row>>> + Send;

    /// Commits a transaction.
    fn commit(&self, commit: &super::Commit) -> impl future::Future<Output = Result<()>> + Send;

    /// Stores an object whole.
    fn put(&self, key: &str, body: Vec<u8>) -> impl future::Future<Output = Result<()>> + Send;

    /// Reads an object whole.
    fn get(&self, key: &str) -> impl future::Future<Output = Result<Option<Vec<u8>>>> + Send;

    /// Lists the keys of objects that start with a prefix.
    fn list(&self, prefix: &str) -> impl future::Future<Output = Result<Vec<String>>> + Send;

    /// Reads the lagging list of hosts.
    fn hosts(&self) -> impl future::Future<Output = Result<Vec<super::HostEntry>>> + Send;
}
