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

/// A connection that is ready for one exchange.
pub type Sender = http1::SendRequest<Body>;

/// Result of opening a connection.
pub type Result<T> = std::io::Result<T>;

/// Idle connections to targets.
#[derive(Debug, Default)]
pub struct Pool {
    idle: sync::Mutex<collections::BTreeMap<record::Address, Vec<Sender>>>,
}

impl Pool {
    /// Returns a connection that carries no exchange.
    ///
    /// # Errors
    ///
    /// Fails when a new connection is refused: nothing was sent.
    pub async fn take(&self, address: record::Address) -> Result<Sender> {
        while let Some(sender) = self.pop(address) {
            if sender.is_ready() {
                return Ok(sender);
            }
        }
        let stream = tokio::net::TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(rt::TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            let _closed = connection.await;
        });
        Ok(sender)
    }

    /// Keeps a connection whose exchange has ended whole.
    pub fn give(&self, address: record::Address, sender: Sender) {
        let mut idle = self.lock();
        let senders = idle.entry(address).or_default();
        if senders.len() < IDLE_PER_TARGET {
            senders.push(sender);
        }
    }

    fn pop(&self, address: record::Address) -> Option<Sender> {
        self.lock().get_mut(&address)?.pop()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<record::Address, Vec<Sender>>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
