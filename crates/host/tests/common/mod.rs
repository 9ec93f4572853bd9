//! Starts a host process with test doubles of the platform's store and of targets.

pub(crate) mod host;
pub(crate) mod raw;
pub(crate) mod store;
pub(crate) mod target;

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;

/// Time limit of a condition that a test waits for.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// A response with its complete body.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: Bytes,
}

impl Reply {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Sends one request on a new connection.
pub(crate) async fn call(
    address: net::SocketAddr,
    request: hyper::Request<http_body_util::Full<Bytes>>,
) -> Result<Reply, hyper::Error> {
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connect");
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
    tokio::spawn(connection);
    read(sender.send_request(request).await?).await
}

/// Reads a response to its end.
pub(crate) async fn read(
    answer: hyper::Response<hyper::body::Incoming>,
) -> Result<Reply, hyper::Error> {
    let (parts, body) = answer.into_parts();
    Ok(Reply {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: body.collect().await?.to_bytes(),
    })
}

/// Builds a request as callers send it.
pub(crate) fn request(
    method: &str,
    path: &str,
    id: &str,
    body: Vec<u8>,
) -> hyper::Request<http_body_util::Full<Bytes>> {
    hyper::Request::builder()
        .method(method)
        .uri(path)
        .header("host", "shop.example")
        .header("request-id", id)
        .header("deadline-ms", "5000")
        .header("authorization", "Bearer key-1")
        .header("cookie", "Affinity-Key=17")
        .body(http_body_util::Full::new(Bytes::from(body)))
        .expect("request")
}

/// Waits until a condition holds.
pub(crate) async fn eventually<F, R>(what: &str, mut check: F)
where
    F: FnMut() -> R,
    R: std::future::Future<Output = bool>,
{
    let began = time::Instant::now();
    while !check().await {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "not within {WAIT_TIMEOUT:?}: {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
