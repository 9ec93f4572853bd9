//! A small HTTP client for JSON exchanges.

use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper_util::client::legacy;
use hyper_util::rt;

/// Time that a connection may take to open.
const CONNECT_TIME: time::Duration = time::Duration::from_millis(600);
/// Silence of a connection before it is probed, and between probes.
pub const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Unanswered probes after which a connection counts as lost.
pub const MAX_KEEPALIVE_PROBES: u32 = 2;

/// Result of an HTTP exchange.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed HTTP exchange.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The request could not be formed.
    #[error("the request cannot be formed: {0}")]
    Form(#[from] hyper::http::Error),
    /// No whole answer arrived.
    #[error("no whole answer: {0}")]
    Exchange(String),
    /// No whole answer arrived in time.
    #[error("no whole answer within {0:?}")]
    Timeout(time::Duration),
}

/// A pooled HTTP client with one time limit for each exchange.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>,
    limit: time::Duration,
}

/// A whole answer.
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
    /// Creates a client whose exchanges end after `limit`.
    #[must_use]
    pub fn new(limit: time::Duration) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(limit.min(CONNECT_TIME)));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(MAX_KEEPALIVE_PROBES));
        let inner = legacy::Client::builder(rt::TokioExecutor::new()).build(connector);
        Self { inner, limit }
    }

    /// Returns a client with the same connections and another time limit.
    #[must_use]
    pub fn with_timeout(&self, limit: time::Duration) -> Self {
        Self {
            inner: self.inner.clone(),
            limit,
        }
    }

    /// Sends one request and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer arrives in time; the request may still have taken effect.
    pub async fn send(&self, method: &str, url: &str, body: Vec<u8>) -> Result<Reply> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(url)
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(http_body_util::Full::new(Bytes::from(body)))?;
        self.call(request).await
    }

    /// Sends one request with headers of the caller's own and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer arrives in time; the request may still have taken effect.
    pub async fn call(
        &self,
        request: hyper::Request<http_body_util::Full<Bytes>>,
    ) -> Result<Reply> {
        let exchange = self.exchange(request);
        match tokio::time::timeout(self.limit, exchange).await {
            Ok(reply) => reply,
            Err(_elapsed) => Err(Error::Timeout(self.limit)),
        }
    }

    async fn exchange(
        &self,
        request: hyper::Request<http_body_util::Full<Bytes>>,
    ) -> Result<Reply> {
        let fault = |error: &dyn std::error::Error| Error::Exchange(error.to_string());
        let answer = self
            .inner
            .request(request)
            .await
            .map_err(|error| fault(&error))?;
        let status = answer.status().as_u16();
        let headers = answer.headers().clone();
        let body = answer
            .into_body()
            .collect()
            .await
            .map_err(|error| fault(&error))?;
        Ok(Reply {
            status,
            headers,
            body: body.to_bytes(),
        })
    }
}
