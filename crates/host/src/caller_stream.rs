//! Stream of a caller's connection that reads ahead of the HTTP library.

use std::future;
use std::io;
use std::pin;
use std::sync;
use std::task;

use bytes::Buf as _;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net;

use super::lookahead;
use super::stream;

/// Bytes that are read ahead at most.
const MAX_BYTES_AHEAD: usize = 16 * 1_024;
/// Bytes that are read ahead at once.
const READ_BYTES: usize = 4 * 1_024;

/// A caller's connection.
///
/// The HTTP library serves the requests of a connection one after another. What arrives behind
/// the request that is served is read here, so that it can begin meanwhile.
#[derive(Clone, Debug)]
pub(crate) struct CallerStream {
    stream: stream::Stream,
    ahead: sync::Arc<sync::Mutex<Ahead>>,
}

/// Bytes that were read and that the HTTP library did not take yet, and the heads in all bytes.
#[derive(Debug, Default)]
struct Ahead {
    bytes: BytesMut,
    lookahead: lookahead::Lookahead,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub(crate) fn new(socket: net::TcpStream) -> Self {
        Self {
            stream: stream::Stream::new(socket),
            ahead: sync::Arc::default(),
        }
    }

    /// Waits until the caller has closed its side of the connection.
    pub(crate) async fn closed(&self) {
        self.stream.closed().await;
    }

    /// Returns the next request behind the one with a position, once its head has arrived.
    pub(crate) async fn next_behind(&self, position: u64) -> lookahead::Head {
        let mut stream = self.stream.clone();
        future::poll_fn(|cx| self.poll_next_behind(&mut stream, position, cx)).await
    }

    fn poll_next_behind(
        &self,
        stream: &mut stream::Stream,
        position: u64,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<lookahead::Head> {
        loop {
            let mut ahead = self.lock();
            if let Some(head) = ahead.lookahead.next_behind(position) {
                return task::Poll::Ready(head);
            }
            if ahead.lookahead.has_ended() || ahead.bytes.len() >= MAX_BYTES_AHEAD {
                return task::Poll::Pending;
            }
            let mut buffer = [0; READ_BYTES];
            let mut buf = ReadBuf::new(&mut buffer);
            match task::ready!(pin::Pin::new(&mut *stream).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => {
                    ahead.bytes.extend_from_slice(buf.filled());
                    ahead.lookahead.feed(buf.filled());
                }
                // The HTTP library sees the end or the error as well.
                Ok(()) | Err(_) => return task::Poll::Pending,
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Ahead> {
        self.ahead
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        {
            let mut ahead = self.lock();
            if !ahead.bytes.is_empty() {
                let count = ahead.bytes.len().min(buf.remaining());
                buf.put_slice(&ahead.bytes[..count]);
                ahead.bytes.advance(count);
                return task::Poll::Ready(Ok(()));
            }
        }
        let before = buf.filled().len();
        task::ready!(pin::Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.lock().lookahead.feed(&buf.filled()[before..]);
        task::Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
