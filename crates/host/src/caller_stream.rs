//! Stream of a caller's connection that shows its close before all bytes are read.

use std::io;
use std::pin;
use std::sync;
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

/// A caller's connection.
///
/// The HTTP library notices a close only when it reads, and it does not read while a pipelined
/// request waits in its buffer. So the readiness of the socket is checked besides.
#[derive(Clone, Debug)]
pub(crate) struct CallerStream(sync::Arc<net::TcpStream>);

impl CallerStream {
    /// Shares an accepted connection.
    pub(crate) fn new(stream: net::TcpStream) -> Self {
        Self(sync::Arc::new(stream))
    }

    /// Waits until the caller has closed its side of the connection.
    pub(crate) async fn closed(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let ready = self.0.ready(Interest::READABLE).now_or_never();
            if ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed())) {
                return;
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        loop {
            task::ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    return task::Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return task::Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
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
            task::ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(bufs) {
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
        task::Poll::Ready(socket2::SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write))
    }
}
