//! Connection pool to targets, most recently used first.

use std::collections;
use std::net;
use std::sync;
use std::time;

use hyper::client::conn::http1;
use hyper_util::rt;
use skylark_core::instant;
use skylark_core::name;
use skylark_wire::http;

use super::body;
use super::stream;

/// Longest time for which an idle connection is pooled, also where the target states none.
const MAX_IDLE_TIME: time::Duration = time::Duration::from_secs(8);
/// Margin before the target's own idle timeout, so that no request races with the close.
const IDLE_TIMEOUT_MARGIN: time::Duration = time::Duration::from_millis(1_500);
/// Idle time after which a request that must not run twice gets a new connection.
const MAX_UNSAFE_IDLE_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Idle connections that are pooled for each target at most.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Largest response head that a target may send.
const MAX_HEAD_BYTES: usize = 64 * 1_024;

/// A connection to a target.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: http1::SendRequest<body::Forwarded>,
    /// Limit of the bytes that the target may send before the head of its response is complete.
    pub(crate) head_limit: stream::HeadLimit,
    driver: tokio::task::JoinHandle<()>,
    used: bool,
}

impl Connection {
    /// Returns whether a request was sent on the connection before.
    pub(crate) const fn is_used(&self) -> bool {
        self.used
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: instant::Instant,
    timeout: time::Duration,
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: sync::Mutex<collections::HashMap<name::Target, Vec<Idle>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Takes the most recently used idle connection to a target.
    pub(crate) fn take(
        &self,
        target: &name::Target,
        is_idempotent: bool,
        now: instant::Instant,
    ) -> Option<Connection> {
        let mut all = self.lock();
        let idle = all.get_mut(target)?;
        idle.retain(|idle| {
            now.since(idle.since) < idle.timeout && idle.connection.sender.is_ready()
        });
        let is_fresh = |idle: &Idle| is_idempotent || now.since(idle.since) < MAX_UNSAFE_IDLE_TIME;
        let found = idle
            .pop_if(|idle| is_fresh(idle))
            .map(|idle| idle.connection);
        if idle.is_empty() {
            all.remove(target);
        }
        found
    }

    /// Returns a connection to the pool; `timeout` is the target's own idle timeout.
    pub(crate) fn put(
        &self,
        target: &name::Target,
        mut connection: Connection,
        timeout: Option<time::Duration>,
        now: instant::Instant,
    ) {
        connection.used = true;
        let timeout = timeout.map_or(MAX_IDLE_TIME, |timeout| {
            timeout
                .saturating_sub(IDLE_TIMEOUT_MARGIN)
                .min(MAX_IDLE_TIME)
        });
        let mut all = self.lock();
        let idle = all.entry(target.clone()).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS && !timeout.is_zero() {
            idle.push(Idle {
                connection,
                since: now,
                timeout,
            });
        }
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn expire(&self, now: instant::Instant) {
        let mut all = self.lock();
        for idle in all.values_mut() {
            idle.retain(|idle| now.since(idle.since) < idle.timeout);
        }
        all.retain(|_target, idle| !idle.is_empty());
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<name::Target, Vec<Idle>>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Opens a connection.
///
/// # Errors
///
/// Fails when the target does not accept the connection.
pub(crate) async fn open(address: net::SocketAddr) -> std::io::Result<Connection> {
    let stream = tokio::net::TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(http::KEEPALIVE_INTERVAL)
        .with_interval(http::KEEPALIVE_INTERVAL)
        .with_retries(http::MAX_KEEPALIVE_PROBES);
    socket2::SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
    let stream = stream::Stream::new(stream);
    let head_limit = stream.head_limit();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(rt::TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(address:% = address, error:% = error; "connection to target ended with an error");
        }
    });
    Ok(Connection {
        sender,
        head_limit,
        driver,
        used: false,
    })
}
