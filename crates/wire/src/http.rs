//! Pooled HTTP client with a timeout and TCP keepalive, for JSON requests.

use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper_util::client::legacy;
use hyper_util::rt;

/// Upper bound of the time to open a connection.
const MAX_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Idle time of a connection before its first keepalive probe, and time between probes.
pub const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is closed.
pub const MAX_KEEPALIVE_PROBES: u32 = 2;

/// Result of an HTTP request.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed HTTP request.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The request could not be built.
    #[error("cannot build the HTTP request: {0}; check its URL and headers")]
    Build(#[from] hyper::http::Error),
    /// No complete response arrived.
    #[error("no complete response: {0}")]
    Exchange(String),
    /// No complete response arrived before the timeout.
    #[error("no complete response within {0:?}")]
    Timeout(time::Duration),
}

/// A pooled HTTP client with one timeout for each request and its complete response.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>,
    timeout: time::Duration,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Client {
    /// Creates a client whose requests fail after `timeout`.
    #[must_use]
    pub fn new(timeout: time::Duration) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout.min(MAX_CONNECT_TIMEOUT)));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(MAX_KEEPALIVE_PROBES));
        let inner = legacy::Client::builder(rt::TokioExecutor::new()).build(connector);
        Self { inner, timeout }
    }

    /// Returns a client with the same connection pool and another timeout.
    #[must_use]
    pub fn with_timeout(&self, timeout: time::Duration) -> Self {
        Self {
            inner: self.inner.clone(),
            timeout,
        }
    }

    /// Sends a JSON request and waits for its complete response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives in time; the request may still have taken effect.
    pub async fn send(&self, method: &str, url: &str, body: Vec<u8>) -> Result<Reply> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(url)
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(http_body_util::Full::new(Bytes::from(body)))?;
        self.call(request).await
    }

    /// Sends a request with the caller's own headers and waits for its complete response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives in time; the request may still have taken effect.
    pub async fn call(
        &self,
        request: hyper::Request<http_body_util::Full<Bytes>>,
    ) -> Result<Reply> {
        let exchange = self.exchange(request);
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(reply) => reply,
            Err(_elapsed) => Err(Error::Timeout(self.timeout)),
        }
    }

    async fn exchange(
        &self,
        request: hyper::Request<http_body_util::Full<Bytes>>,
    ) -> Result<Reply> {
        let failure = |error: &dyn std::error::Error| Error::Exchange(error.to_string());
        let response = self
            .inner
            .request(request)
            .await
            .map_err(|error| failure(&error))?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| failure(&error))?;
        Ok(Reply {
            status,
            headers,
            body: body.to_bytes(),
        })
    }
}
