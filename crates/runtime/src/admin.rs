//! HTTP server for the health and readiness checks of a daemon.

use std::io;
use std::net;
use std::sync;

use hyper_util::rt;
use hyper_util::service;
use warp::Filter as _;

/// A readiness check, which returns whether the daemon can serve requests.
pub type Ready = sync::Arc<dyn Fn() -> bool + Send + Sync>;

/// Serves `/health` and `/ready` on an address, until this future is dropped.
///
/// # Errors
///
/// Fails if the address cannot be bound or a connection cannot be accepted.
pub async fn serve(address: net::SocketAddr, ready: Ready) -> io::Result<()> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    let health = warp::path!("health").map(|| String::from("ok\n"));
    let readiness = warp::path!("ready").map(move || readiness_reply(ready()));
    let routes = warp::service(health.or(readiness));
    loop {
        let (stream, _peer) = listener.accept().await?;
        let handler = service::TowerToHyperService::new(routes.clone());
        let http = hyper::server::conn::http1::Builder::new();
        let connection = http.serve_connection(rt::TokioIo::new(stream), handler);
        tokio::spawn(async move {
            let _closed = connection.await;
        });
    }
}

fn readiness_reply(is_ready: bool) -> warp::reply::WithStatus<String> {
    if is_ready {
        return warp::reply::with_status(String::from("ready\n"), warp::http::StatusCode::OK);
    }
    warp::reply::with_status(
        String::from("not ready\n"),
        warp::http::StatusCode::SERVICE_UNAVAILABLE,
    )
}
