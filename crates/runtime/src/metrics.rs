//! Metrics, sent as statsd datagrams.

use std::net;
use std::sync;

use super::error;

const QUEUE_EVENTS: usize = 65_536;

/// A shared sender of metrics.
pub type Metrics = sync::Arc<cadence::StatsdClient>;

/// Creates a sender to a statsd address, or one that drops everything where none is given.
///
/// # Errors
///
/// Fails when no socket can be opened.
pub fn sender(prefix: &str, address: Option<net::SocketAddr>) -> error::Result<Metrics> {
    let Some(address) = address else {
        return Ok(sync::Arc::new(cadence::StatsdClient::from_sink(
            prefix,
            cadence::NopMetricSink,
        )));
    };
    let socket = net::UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0))?;
    socket.set_nonblocking(true)?;
    let udp = cadence::BufferedUdpMetricSink::from(address, socket);
    let udp = udp.map_err(|cause| error::Error::Metrics(cause.to_string()))?;
    let queue = cadence::QueuingMetricSink::with_capacity(udp, QUEUE_EVENTS);
    Ok(sync::Arc::new(cadence::StatsdClient::from_sink(
        prefix, queue,
    )))
}
