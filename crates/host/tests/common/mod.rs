//! A host process beside stand-ins of the platform's store and of targets.

pub(crate) mod host;
pub(crate) mod store;
pub(crate) mod target;

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;

/// Longest time that a test waits for something that should happen.
const PATIENCE: time::Duration = time::Duration::from_secs(20);
const LOOK: time::Duration = time::Duration::from_millis(20);

/// An answer with all its bytes.
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

/// Sends one request on a connection of its own.
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

/// Reads an answer to its end.
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

/// Forms a request as callers do.
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

/// Waits until something holds.
pub(crate) async fn eventually<F, R>(what: &str, mut check: F)
where
    F: FnMut() -> R,
    R: std::future::Future<Output = bool>,
{
    let began = time::Instant::now();
    while !check().await {
        assert!(
            began.elapsed() < PATIENCE,
            "not within {PATIENCE:?}: {what}"
        );
        tokio::time::sleep(LOOK).await;
    }
}
