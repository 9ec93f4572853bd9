//! RPC transports between processes: JSON and bincode over TCP.

use std::future;
use std::io;

use futures::StreamExt as _;
use skylark_core::record;
use tarpc::serde_transport;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats;

/// Result of opening or serving a transport.
pub type Result<T> = io::Result<T>;

/// A JSON transport over TCP, for messages with records, which omit absent fields.
pub type JsonTransport<In, Out> =
    serde_transport::Transport<tokio::net::TcpStream, In, Out, formats::Json<In, Out>>;

/// A bincode transport over TCP, for small and frequent messages.
pub type CompactTransport<In, Out> =
    serde_transport::Transport<tokio::net::TcpStream, In, Out, formats::Bincode<In, Out>>;

/// Connects to a process that serves RPC over JSON.
///
/// # Errors
///
/// Fails if the connection cannot be opened.
pub async fn connect_json<In, Out>(address: record::Address) -> Result<JsonTransport<In, Out>>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
{
    tcp::connect(address, formats::Json::default).await
}

/// Connects to a process that serves RPC over bincode.
///
/// # Errors
///
/// Fails if the connection cannot be opened.
pub async fn connect_compact<In, Out>(address: record::Address) -> Result<CompactTransport<In, Out>>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
{
    tcp::connect(address, formats::Bincode::default).await
}

/// Runs `serve` for each accepted JSON connection, until this future is dropped.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn accept_json<In, Out, F, R>(address: record::Address, serve: F) -> Result<()>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
    F: Fn(JsonTransport<In, Out>) -> R,
    R: future::Future<Output = ()> + Send + 'static,
{
    let mut incoming = tcp::listen(address, formats::Json::default).await?;
    while let Some(transport) = incoming.next().await {
        if let Ok(transport) = transport {
            tokio::spawn(serve(transport));
        }
    }
    Ok(())
}

/// Runs `serve` for each accepted bincode connection, until this future is dropped.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn accept_compact<In, Out, F, R>(address: record::Address, serve: F) -> Result<()>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
    F: Fn(CompactTransport<In, Out>) -> R,
    R: future::Future<Output = ()> + Send + 'static,
{
    let listener = tokio::net::TcpListener::bind(address).await?;
    accept_compact_on(listener, serve).await
}

/// Runs `serve` for each bincode connection of a bound listener, until this future is dropped.
///
/// # Errors
///
/// Fails if the local address of the listener cannot be read.
pub async fn accept_compact_on<In, Out, F, R>(
    listener: tokio::net::TcpListener,
    serve: F,
) -> Result<()>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
    F: Fn(CompactTransport<In, Out>) -> R,
    R: future::Future<Output = ()> + Send + 'static,
{
    let mut incoming = tcp::listen_on(listener, formats::Bincode::default).await?;
    while let Some(transport) = incoming.next().await {
        if let Ok(transport) = transport {
            tokio::spawn(serve(transport));
        }
    }
    Ok(())
}

/// Spawns a task for each call of a channel, until the channel closes.
pub async fn run_calls<S, F>(calls: S)
where
    S: futures::Stream<Item = F>,
    F: future::Future<Output = ()> + Send + 'static,
{
    calls
        .for_each(|call| {
            tokio::spawn(call);
            future::ready(())
        })
        .await;
}
