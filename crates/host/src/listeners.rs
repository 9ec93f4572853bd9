//! Listening sockets, and a small HTTP server for responses that need no target.

use std::convert;
use std::future;
use std::net;
use std::sync;

use bytes::Bytes;
use hyper_util::rt;

use skylark_platform::settings;

use super::body;
use super::error;

/// Buffer of a connection; a body is released as it leaves, not when it is copied to a buffer.
const BUFFER_BYTES: usize = 16 * 1_024;

/// Listening sockets of the process, bound once, so that a restarted task keeps its port.
#[derive(Debug)]
pub(crate) struct Sockets {
    pub(crate) callers: sync::Arc<tokio::net::TcpListener>,
    pub(crate) readiness: sync::Arc<tokio::net::TcpListener>,
    pub(crate) lookups: sync::Arc<tokio::net::TcpListener>,
    pub(crate) control: sync::Arc<tokio::net::TcpListener>,
    pub(crate) metrics: Option<sync::Arc<tokio::net::TcpListener>>,
}

impl Sockets {
    /// Binds the addresses of the settings.
    pub(crate) async fn bind(
        settings: &settings::Settings,
        metrics: Option<u16>,
    ) -> error::Result<Self> {
        let metrics = match metrics {
            Some(port) => Some(listen(net::SocketAddr::new(settings.control.ip(), port)).await?),
            None => None,
        };
        Ok(Self {
            callers: listen(settings.callers).await?,
            readiness: listen(settings.readiness).await?,
            lookups: listen(settings.lookups).await?,
            control: listen(settings.control).await?,
            metrics,
        })
    }
}

/// Binds the UDP socket of the messages between hosts.
pub(crate) async fn bind_reports(
    settings: &settings::Settings,
) -> error::Result<tokio::net::UdpSocket> {
    let address = net::SocketAddr::new(settings.control.ip(), settings.report_port);
    let socket = tokio::net::UdpSocket::bind(address).await;
    socket.map_err(|cause| error::Error::Bind { address, cause })
}

async fn listen(address: net::SocketAddr) -> error::Result<sync::Arc<tokio::net::TcpListener>> {
    let listener = tokio::net::TcpListener::bind(address).await;
    let listener = listener.map_err(|cause| error::Error::Bind { address, cause })?;
    Ok(sync::Arc::new(listener))
}

/// A response with a complete body.
pub(crate) type Response = hyper::Response<body::Forwarded>;

/// Serves requests on a listener until the task is dropped.
pub(crate) async fn serve<F, R>(
    listener: sync::Arc<tokio::net::TcpListener>,
    name: &'static str,
    respond: F,
) -> error::Result<()>
where
    F: Fn(hyper::Request<hyper::body::Incoming>) -> R + Clone + Send + 'static,
    R: future::Future<Output = Response> + Send + 'static,
{
    loop {
        let (stream, _peer) = listener.accept().await?;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(listener = name, error:% = error; "TCP_NODELAY could not be set; small packets may be delayed");
        }
        let respond = respond.clone();
        tokio::spawn(async move {
            let service = hyper::service::service_fn(move |request| {
                let reply = respond(request);
                async move { Ok::<_, convert::Infallible>(reply.await) }
            });
            let mut http = hyper::server::conn::http1::Builder::new();
            http.max_buf_size(BUFFER_BYTES);
            let connection = http.serve_connection(rt::TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(listener = name, error:% = error; "connection ended with an error");
            }
        });
    }
}

/// Creates a response with a status, a content type and a body.
pub(crate) fn response(status: hyper::StatusCode, media: &'static str, body: Vec<u8>) -> Response {
    let mut response = hyper::Response::new(body::Forwarded::complete(Bytes::from(body)));
    *response.status_mut() = status;
    let media = hyper::header::HeaderValue::from_static(media);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, media);
    response
}
