//! Interface of the platform: table, object store and list of hosts.

use std::future;

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed platform call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A condition of the transaction did not hold, so nothing was written.
    #[error("write conflict: row '{key}' was changed in between; read it again and retry")]
    Conflict {
        /// Key of the row whose version differed.
        key: String,
    },
    /// The platform rejected the call and wrote nothing.
    #[error("the platform rejected the call with HTTP status {status}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// No usable response arrived; a write may or may not have taken effect.
    #[error("no response from the platform: {reason}")]
    NoAnswer {
        /// Why there is no response.
        reason: String,
    },
    /// The content of a request or response could not be converted from or to JSON.
    #[error("cannot encode or decode data of the platform: {reason}")]
    BadAnswer {
        /// What is wrong with the content.
        reason: String,
    },
}

/// The calls that the platform offers to a process.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads one row, absent if it does not exist.
    fn row(&self, key: &str) -> impl future::Future<Output = Result<Option<super::Row>>> + Send;

    /// Reads all rows whose key starts with a prefix, ordered by key.
    fn rows(&self, prefix: &str) -> impl future::Future<Output = Result<Vec<super::Row>>> + Send;

    /// Commits a transaction atomically.
    fn commit(&self, commit: &super::Commit) -> impl future::Future<Output = Result<()>> + Send;

    /// Stores an object, replacing an earlier one with this key.
    fn put(&self, key: &str, body: Vec<u8>) -> impl future::Future<Output = Result<()>> + Send;

    /// Reads an entire object, absent if it does not exist.
    fn get(&self, key: &str) -> impl future::Future<Output = Result<Option<Vec<u8>>>> + Send;

    /// Lists the keys of objects that start with a prefix.
    fn list(&self, prefix: &str) -> impl future::Future<Output = Result<Vec<String>>> + Send;

    /// Reads the platform's list of hosts, which may be out of date.
    fn hosts(&self) -> impl future::Future<Output = Result<Vec<super::HostEntry>>> + Send;
}
