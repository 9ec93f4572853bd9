//! Stream of a connection that leaves time to other tasks and bounds the head of a response.

use std::future::Future as _;
use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use futures::FutureExt as _;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::Interest;
use tokio::io::ReadBuf;
use tokio::net;

/// Time between two checks whether a caller has left.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Bytes that are read in a row before other tasks run.
const MAX_BYTES_IN_A_ROW: usize = 64 * 1_024;
/// Bytes that may arrive before a response's head is complete: informational responses, the head
/// itself, and what of its body arrives with it.
const MAX_BYTES_BEFORE_HEAD: usize = 256 * 1_024;

/// A connection to a caller or a target.
///
/// The HTTP library reads and parses as long as bytes arrive. A peer that sends faster than they
/// are parsed would keep every other task waiting, timers included, so reading pauses now and then.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    socket: sync::Arc<net::TcpStream>,
    bytes_in_row: usize,
    head: HeadLimit,
}

/// Limit of the bytes that arrive before the head of a response is complete.
#[derive(Clone, Debug)]
pub(crate) struct HeadLimit(sync::Arc<atomic::AtomicUsize>);

impl HeadLimit {
    /// Allows any number of bytes.
    pub(crate) fn lift(&self) {
        self.0.store(usize::MAX, atomic::Ordering::Relaxed);
    }

    /// Starts to limit the bytes of the next head.
    pub(crate) fn reset(&self) {
        self.0
            .store(MAX_BYTES_BEFORE_HEAD, atomic::Ordering::Relaxed);
    }

    /// Counts bytes; returns whether they were within the limit.
    fn count(&self, bytes: usize) -> bool {
        let left = self.0.load(atomic::Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        let rest = left.saturating_sub(bytes);
        self.0.store(rest, atomic::Ordering::Relaxed);
        rest > 0
    }
}

impl Stream {
    /// Wraps a connection, with no limit of heads.
    pub(crate) fn new(socket: net::TcpStream) -> Self {
        Self {
            socket: sync::Arc::new(socket),
            bytes_in_row: 0,
            head: HeadLimit(sync::Arc::new(atomic::AtomicUsize::new(usize::MAX))),
        }
    }

    /// Returns the limit of the connection's heads.
    pub(crate) fn head_limit(&self) -> HeadLimit {
        self.head.clone()
    }

    /// Waits until the peer has closed its side of the connection, also while bytes are unread.
    ///
    /// The HTTP library notices a close only when it reads, and it does not read while a pipelined
    /// request waits in its buffer.
    pub(crate) async fn closed(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let ready = self.socket.ready(Interest::READABLE).now_or_never();
            if let Some(Ok(ready)) = ready
                && ready.is_read_closed()
            {
                return;
            }
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.bytes_in_row >= MAX_BYTES_IN_A_ROW {
            self.bytes_in_row = 0;
            // Unlike a wake-up at once, this lets the runtime look at its timers and sockets first.
            let pause = pin::pin!(tokio::task::yield_now());
            task::ready!(pause.poll(cx));
        }
        loop {
            let ready = self.socket.poll_read_ready(cx);
            if ready.is_pending() {
                self.bytes_in_row = 0;
            }
            task::ready!(ready)?;
            let free = buf.remaining().min(MAX_BYTES_IN_A_ROW - self.bytes_in_row);
            match self.socket.try_read(buf.initialize_unfilled_to(free)) {
                Ok(count) => {
                    buf.advance(count);
                    self.bytes_in_row += count;
                    if !self.head.count(count) {
                        let reason = "too many bytes before the head of a response was complete";
                        return task::Poll::Ready(Err(io::Error::other(reason)));
                    }
                    return task::Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return task::Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        loop {
            task::ready!(self.socket.poll_write_ready(cx))?;
            match self.socket.try_write_vectored(bufs) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return task::Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::Poll::Ready(socket2::SockRef::from(&*self.socket).shutdown(std::net::Shutdown::Write))
    }
}
