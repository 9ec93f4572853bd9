//! A caller on a raw socket, so that it can also violate the protocol.

use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Longest time to wait for bytes of the host.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// A caller's connection.
#[derive(Debug)]
pub(crate) struct Caller {
    stream: tokio::net::TcpStream,
    received: Vec<u8>,
}

/// A response as it arrived.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Caller {
    pub(crate) async fn connect(address: net::SocketAddr) -> Self {
        Self::try_connect(address).await.expect("connect")
    }

    /// Connects to a host that may have ended.
    pub(crate) async fn try_connect(address: net::SocketAddr) -> std::io::Result<Self> {
        Ok(Self {
            stream: tokio::net::TcpStream::connect(address).await?,
            received: Vec::new(),
        })
    }

    /// Sends bytes; the host may have closed the connection.
    pub(crate) async fn send(&mut self, bytes: impl AsRef<[u8]>) -> std::io::Result<()> {
        self.stream.write_all(bytes.as_ref()).await
    }

    /// Reads the next response with a `Content-Length`; `None` if the connection ended before.
    pub(crate) async fn read(&mut self) -> Option<Answer> {
        let end = loop {
            let found = self.received.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(at) = found {
                break at + 4;
            }
            self.read_more().await?;
        };
        let head = String::from_utf8_lossy(&self.received[..end]).into_owned();
        let length = super::target::value(&head, "content-length");
        let length: usize = length.expect("a length").parse().expect("a number");
        while self.received.len() < end + length {
            self.read_more().await?;
        }
        let body = self.received[end..end + length].to_vec();
        self.received.drain(..end + length);
        let status = head[9..12].parse().expect("a status");
        Some(Answer { status, head, body })
    }

    /// Reads until the host closes the connection, at most until the time limit.
    pub(crate) async fn read_to_end(&mut self) -> &[u8] {
        while self.read_more().await.is_some() {}
        &self.received
    }

    async fn read_more(&mut self) -> Option<()> {
        let mut buffer = vec![0; 16_384];
        let read = tokio::time::timeout(READ_TIMEOUT, self.stream.read(&mut buffer));
        match read.await.expect("bytes of the host in time") {
            Ok(0) | Err(_) => None,
            Ok(count) => {
                self.received.extend_from_slice(&buffer[..count]);
                Some(())
            }
        }
    }
}

/// Returns a request head; `headers` are whole lines.
pub(crate) fn head(method: &str, path: &str, id: &str, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n\
         Authorization: Bearer key-1\r\nCookie: Affinity-Key=17\r\n{headers}\r\n"
    )
}
