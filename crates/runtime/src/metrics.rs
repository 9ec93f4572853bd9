//! Metrics sent to a statsd server over UDP.

use std::net;
use std::sync;

use super::error;

const MAX_QUEUED_METRICS: usize = 65_536;

/// A shared statsd client.
pub type Metrics = sync::Arc<cadence::StatsdClient>;

/// Creates a client for a statsd address, or one that discards all metrics without an address.
///
/// # Errors
///
/// Fails if no socket can be opened.
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
    let queue = cadence::QueuingMetricSink::with_capacity(udp, MAX_QUEUED_METRICS);
    Ok(sync::Arc::new(cadence::StatsdClient::from_sink(
        prefix, queue,
    )))
}
