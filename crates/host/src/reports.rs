//! Reports between hosts, in one datagram each.

use std::net;
use std::sync;
use std::time;

use skylark_core::traffic;

use super::error;
use super::state;

/// Time between two looks at shares and plans.
const REFRESH: time::Duration = time::Duration::from_millis(250);
/// Refreshes between two reports.
const REPORT_EVERY: u32 = 1;
/// Shortest time between two reports, when there is news.
const SHORTEST_GAP: time::Duration = time::Duration::from_millis(30);
/// Refreshes for which another host must know more before it is asked.
const BEHIND_FOR: u32 = 2;
/// Largest report.
const REPORT_BYTES: usize = 16 * 1_024;

/// Tells the other hosts what this one does, until the task is dropped.
pub(crate) async fn tell(
    socket: sync::Arc<tokio::net::UdpSocket>,
    state: sync::Arc<state::State>,
) -> error::Result<()> {
    let mut refreshes = 0_u32;
    let mut behind = 0_u32;
    loop {
        let is_news = tokio::select! {
            () = tokio::time::sleep(REFRESH) => false,
            () = state.news.notified() => true,
        };
        let now = state.clock.now();
        state.connections.expire(now);
        refreshes = refreshes.wrapping_add(1);
        if is_news || refreshes.is_multiple_of(REPORT_EVERY) {
            send(&socket, &state).await?;
        }
        state.knowledge().refresh(now);
        behind = if is_behind(&state) { behind + 1 } else { 0 };
        if behind >= BEHIND_FOR {
            state.behind.notify_one();
        }
        if is_news {
            tokio::time::sleep(SHORTEST_GAP).await;
        }
    }
}

async fn send(socket: &tokio::net::UdpSocket, state: &state::State) -> error::Result<()> {
    let now = state.clock.now();
    let mut report = state.report();
    state.knowledge().desk_mut().fill(&mut report, now);
    let bytes = bincode::serialize(&report)?;
    let port = state.settings().report_port;
    for control in state.peers.due(now) {
        let address = net::SocketAddr::new(control.ip(), port);
        if let Err(fault) = socket.send_to(&bytes, address).await {
            log::debug!(address:% = address, error:% = fault; "report not sent");
        }
    }
    Ok(())
}

fn is_behind(state: &state::State) -> bool {
    let now = state.clock.now();
    let known = state.knowledge();
    let own = known.versions();
    let is_newer = |versions: traffic::Versions| {
        versions.orders > own.orders || versions.targets > own.targets
    };
    let mut others = known.desk().fleet().live(now);
    own.orders == 0 || own.targets == 0 || others.any(|report| is_newer(report.versions))
}

/// Takes in the other hosts' reports, until the task is dropped.
pub(crate) async fn hear(
    socket: sync::Arc<tokio::net::UdpSocket>,
    state: sync::Arc<state::State>,
) -> error::Result<()> {
    let mut buffer = vec![0; REPORT_BYTES];
    loop {
        let (length, from) = socket.recv_from(&mut buffer).await?;
        let report: traffic::Report = match bincode::deserialize(&buffer[..length]) {
            Ok(report) => report,
            Err(fault) => {
                log::warn!(from:% = from, error:% = fault; "report refused");
                continue;
            }
        };
        let now = state.clock.now();
        state.peers.heard(report.control, now);
        let host = report.host.clone();
        let (phase, life) = (report.phase, report.life);
        let news = state.knowledge().desk_mut().hear(report, now);
        if news != traffic::News::Same {
            log::info!(host:% = host, phase:? = phase, life, news:? = news; "host heard");
        }
        if news == traffic::News::Joined {
            state.news.notify_one();
        }
    }
}
