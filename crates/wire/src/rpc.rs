//! Transports for the calls between processes.

use std::future;
use std::io;

use futures::StreamExt as _;
use skylark_core::record;
use tarpc::serde_transport;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats;

/// Result of opening a transport.
pub type Result<T> = io::Result<T>;

/// A JSON transport over TCP, for records, whose fields are optional.
pub type JsonTransport<In, Out> =
    serde_transport::Transport<tokio::net::TcpStream, In, Out, formats::Json<In, Out>>;

/// A bincode transport over TCP, for small frequent messages.
pub type CompactTransport<In, Out> =
    serde_transport::Transport<tokio::net::TcpStream, In, Out, formats::Bincode<In, Out>>;

/// Connects to a process that takes JSON calls.
///
/// # Errors
///
/// Fails when the connection cannot be opened.
pub async fn connect_json<In, Out>(address: record::Address) -> Result<JsonTransport<In, Out>>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
{
    tcp::connect(address, formats::Json::default).await
}

/// Connects to a process that takes compact calls.
///
/// # Errors
///
/// Fails when the connection cannot be opened.
pub async fn connect_compact<In, Out>(address: record::Address) -> Result<CompactTransport<In, Out>>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
{
    tcp::connect(address, formats::Bincode::default).await
}

/// Hands each connection that asks for JSON calls to `answer`, until the task is dropped.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn accept_json<In, Out, F, R>(address: record::Address, answer: F) -> Result<()>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
    F: Fn(JsonTransport<In, Out>) -> R,
    R: future::Future<Output = ()> + Send + 'static,
{
    let mut incoming = tcp::listen(address, formats::Json::default).await?;
    while let Some(transport) = incoming.next().await {
        if let Ok(transport) = transport {
            tokio::spawn(answer(transport));
        }
    }
    Ok(())
}

/// Hands each connection that asks for compact calls to `answer`, until the task is dropped.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn accept_compact<In, Out, F, R>(address: record::Address, answer: F) -> Result<()>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
    F: Fn(CompactTransport<In, Out>) -> R,
    R: future::Future<Output = ()> + Send + 'static,
{
    let listener = tokio::net::TcpListener::bind(address).await?;
    accept_compact_on(listener, answer).await
}

/// Hands each connection of a bound listener to `answer`, until the task is dropped.
///
/// # Errors
///
/// Fails when the listener has no address.
pub async fn accept_compact_on<In, Out, F, R>(
    listener: tokio::net::TcpListener,
    answer: F,
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
            tokio::spawn(answer(transport));
        }
    }
    Ok(())
}

/// Runs each call of a channel in a task of its own.
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
