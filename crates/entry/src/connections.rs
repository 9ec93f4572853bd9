//! Pool of HTTP/1.1 connections to targets, each of which carries one exchange at a time.

use std::collections;
use std::sync;

use bytes::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt;
use skylark_core::record;

/// Idle connections that are kept for each target.
const MAX_IDLE_PER_TARGET: usize = 32;

/// Body of a request to a target, kept in memory as a whole.
pub type Body = http_body_util::Full<Bytes>;

/// A connection that carries one exchange; it is closed on drop unless it is released to the pool.
#[derive(Debug)]
pub struct Connection {
    inner: http1::SendRequest<Body>,
    /// Whether a request was sent on the connection before the current one.
    is_used: bool,
    _task: Task,
}

/// The task that drives a connection; it is aborted on drop.
#[derive(Debug)]
struct Task(tokio::task::AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Returns whether an answer to an earlier request may still arrive.
    #[must_use]
    pub const fn is_used(&self) -> bool {
        self.is_used
    }

    /// Sends one request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks; the error returns the request if no byte of it was sent.
    pub async fn send(&mut self, request: hyper::Request<Body>) -> SendResult {
        self.inner.try_send_request(request).await
    }
}

/// The head of a response, or a failed send.
pub type SendResult = std::result::Result<
    hyper::Response<hyper::body::Incoming>,
    hyper::client::conn::TrySendError<hyper::Request<Body>>,
>;

/// Result of opening a connection to a target.
pub type Result<T> = std::io::Result<T>;

/// Idle connections to targets, by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: sync::Mutex<collections::BTreeMap<record::Address, Vec<Connection>>>,
}

impl Pool {
    /// Returns an idle connection to a target, or a new one.
    ///
    /// # Errors
    ///
    /// Fails when a new connection cannot be opened; nothing was sent then.
    pub async fn acquire(&self, address: record::Address) -> Result<Connection> {
        while let Some(connection) = self.pop(address) {
            if connection.inner.is_ready() {
                return Ok(connection);
            }
        }
        let stream = tokio::net::TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (inner, driver) = http1::handshake(rt::TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let handle = tokio::spawn(async move {
            let _closed = driver.await;
        });
        let task = Task(handle.abort_handle());
        Ok(Connection {
            inner,
            is_used: false,
            _task: task,
        })
    }

    /// Keeps a connection for reuse after its response was read completely.
    ///
    /// It is closed instead when the target has enough idle connections.
    pub fn release(&self, address: record::Address, mut connection: Connection) {
        connection.is_used = true;
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(connection);
        }
    }

    fn pop(&self, address: record::Address) -> Option<Connection> {
        self.lock().get_mut(&address)?.pop()
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, collections::BTreeMap<record::Address, Vec<Connection>>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
