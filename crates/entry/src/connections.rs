//! Connections to targets, each of which carries one exchange at a time.

use std::collections;
use std::sync;

use bytes::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt;
use skylark_core::record;

const IDLE_PER_TARGET: usize = 32;

/// Body of a request to a target.
pub type Body = http_body_util::Full<Bytes>;

/// A connection that carries one exchange, and is closed unless it is given back.
#[derive(Debug)]
pub struct Connection {
    inner: http1::SendRequest<Body>,
    _task: Task,
}

/// The task that drives a connection, ended with its owner.
#[derive(Debug)]
struct Task(tokio::task::AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Sends one request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks; the error holds a request of which nothing was sent.
    pub async fn send(&mut self, request: hyper::Request<Body>) -> Sent {
        self.inner.try_send_request(request).await
    }
}

/// The head of an answer, or a failed send.
pub type Sent = std::result::Result<
    hyper::Response<hyper::body::Incoming>,
    hyper::client::conn::TrySendError<hyper::Request<Body>>,
>;

/// Result of opening a connection.
pub type Result<T> = std::io::Result<T>;

/// Idle connections to targets.
#[derive(Debug, Default)]
pub struct Pool {
    idle: sync::Mutex<collections::BTreeMap<record::Address, Vec<Connection>>>,
}

impl Pool {
    /// Returns a connection that carries no exchange.
    ///
    /// # Errors
    ///
    /// Fails when a new connection is refused: nothing was sent.
    pub async fn take(&self, address: record::Address) -> Result<Connection> {
        while let Some(sender) = self.pop(address) {
            if sender.inner.is_ready() {
                return Ok(sender);
            }
        }
        let stream = tokio::net::TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (inner, connection) = http1::handshake(rt::TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driven = tokio::spawn(async move {
            let _closed = connection.await;
        });
        let task = Task(driven.abort_handle());
        Ok(Connection { inner, _task: task })
    }

    /// Keeps a connection whose exchange has ended whole.
    pub fn give(&self, address: record::Address, sender: Connection) {
        let mut idle = self.lock();
        let senders = idle.entry(address).or_default();
        if senders.len() < IDLE_PER_TARGET {
            senders.push(sender);
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
